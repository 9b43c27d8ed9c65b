// Package chart draws the series of a run.
package chart
