// Package scenario defines the runs of measure and the figures that each reports.
package scenario
