package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNormalise guards against long flags with one dash that kong would read as a group of short ones.
func TestNormalise(t *testing.T) {
	got := normalise([]string{"run", "x", "-seed", "7", "-plot=a.svg", "--baseline", "y", "-o", "json", "-seedling"})
	assert.DeepEqual(t, got, []string{"run", "x", "--seed", "7", "--plot=a.svg", "--baseline", "y", "-o", "json", "-seedling"})
}
