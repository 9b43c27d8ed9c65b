package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSingleDashLongFlags guards against long flags with a single dash, which kong would parse as grouped short flags.
func TestSingleDashLongFlags(t *testing.T) {
	got := normaliseLongFlags([]string{"run", "x", "-seed", "7", "-plot=a.svg", "--baseline", "y", "-o", "json", "-seedling"})
	assert.DeepEqual(t, got, []string{"run", "x", "--seed", "7", "--plot=a.svg", "--baseline", "y", "-o", "json", "-seedling"})
}
