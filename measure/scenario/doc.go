// Package scenario defines the simulated scenarios of measure and the figures that each reports.
package scenario
