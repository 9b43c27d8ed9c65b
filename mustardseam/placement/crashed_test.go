package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestCrashedFallbackNotUsedWhileOthersFull guards against requests to crashed backend servers while the healthy ones are
// only full. The registrations of crashed backend servers lapse, so the fallback list may contain nothing else.
func TestCrashedFallbackNotUsedWhileOthersFull(t *testing.T) {
	b := NewBoard(BoardConfig{})
	crashed, full := server("s0"), server("s1")
	j := job(10, 10)
	b.Start(start, crashed, j)
	b.Finish(start, engineService, crashed, j, Outcome{Unreachable: true})
	for range full.Slots {
		b.Start(start, full, j)
	}
	c := Candidates{Service: engineService, Servers: []*fleet.Server{full}, Fallback: []*fleet.Server{crashed}}
	assert.Assert(t, b.Choose(start, c, job(10, 10), 0, false) == nil)
	// A crashed backend server is better than none.
	c.Servers = nil
	assert.Equal(t, b.Choose(start, c, job(10, 10), 0, false), crashed)
}

// TestOneRequestProbesCrashedServer guards against many requests to a crashed backend server at the end of the time for
// which it was avoided. A single request must probe whether it is back.
func TestOneRequestProbesCrashedServer(t *testing.T) {
	b := NewBoard(BoardConfig{})
	crashed, busy := server("s0"), server("s1")
	j := job(10, 10)
	b.Start(start, crashed, j)
	b.Finish(start, engineService, crashed, j, Outcome{Unreachable: true})
	for range busy.Slots - 1 {
		b.Start(start, busy, job(20000, 10))
	}
	c := Candidates{Service: engineService, Servers: []*fleet.Server{crashed, busy}}
	later := start.Add(firstAvoidance)
	assert.Equal(t, b.Choose(later, c, job(10, 10), 0, false), crashed)
	b.Start(later, crashed, j)
	assert.Equal(t, b.Choose(later, c, job(10, 10), 0, false), busy)
	b.Start(later, busy, j)
	assert.Assert(t, b.Choose(later, c, job(10, 10), 0, false) == nil)
	// After an answer it gets as many requests as the others.
	b.Finish(later, engineService, crashed, j, Outcome{Answered: true, OK: true, FirstEvent: true})
	b.Start(later, crashed, j)
	assert.Equal(t, b.Choose(later, c, job(10, 10), 0, false), crashed)
}
