// Package chart draws the time series of a run.
package chart
