package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturnTable guards against a returning request that loses its place, and against an equal request that takes it.
func TestReturnTable(t *testing.T) {
	var table ReturnTable
	first := start.Add(-time.Second)
	table.Add(start, 7, NewReturn(start, first, 2*time.Second))
	tests := []struct {
		name        string
		fingerprint uint64
		at          time.Duration
		want        bool
	}{
		{"another request", 8, 2 * time.Second, false},
		{"too early", 7, 900 * time.Millisecond, false},
		{"in time", 7, 2100 * time.Millisecond, true},
		{"twice", 7, 2200 * time.Millisecond, false},
	}
	for _, test := range tests {
		r, ok := table.Take(start.Add(test.at), test.fingerprint)
		assert.Equal(t, ok, test.want, test.name)
		assert.Assert(t, !ok || r.FirstArrival.Equal(first), test.name)
	}
	table.Add(start, 7, NewReturn(start, first, 2*time.Second))
	_, ok := table.Take(start.Add(3100*time.Millisecond), 7)
	assert.Assert(t, !ok, "too late")
	assert.Assert(t, table.Any(start.Add(2*time.Second)))
	assert.Assert(t, !table.Any(start.Add(4*time.Second)))
}

// TestReturnTableBounded guards against memory that grows with the number of refusals, and against a table that stays full.
func TestReturnTableBounded(t *testing.T) {
	var table ReturnTable
	for i := range uint64(2 * maxReturning) {
		table.Add(start, i, NewReturn(start, start, time.Second))
	}
	assert.Equal(t, table.Len(), maxReturning)
	now := start.Add(3 * time.Second)
	table.Add(now, 1<<40, NewReturn(now, now, time.Second))
	assert.Equal(t, table.Len(), 1)
}
