package place

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestSpareCrashed guards against requests to crashed backend servers whose entries lapsed, while the healthy ones are
// merely full: the spare list holds only crashed ones then.
func TestSpareCrashed(t *testing.T) {
	b := NewBoard(BoardConfig{})
	crashed, full := server("s0"), server("s1")
	j := job(10, 10)
	b.Start(start, crashed, j)
	b.Finish(start, engine, crashed, j, Outcome{Unreached: true})
	for range full.Slots {
		b.Start(start, full, j)
	}
	c := Candidates{Service: engine, Servers: []*fleet.Server{full}, Spare: []*fleet.Server{crashed}}
	assert.Assert(t, b.Choose(start, c, job(10, 10), 0, false) == nil)
	// A crashed one is better than none.
	c.Servers = nil
	assert.Equal(t, b.Choose(start, c, job(10, 10), 0, false), crashed)
}

// TestOneProbe guards against a crowd of requests at a crashed backend server when the time for which it was avoided is
// over: one request finds out whether it is back.
func TestOneProbe(t *testing.T) {
	b := NewBoard(BoardConfig{})
	crashed, busy := server("s0"), server("s1")
	j := job(10, 10)
	b.Start(start, crashed, j)
	b.Finish(start, engine, crashed, j, Outcome{Unreached: true})
	for range busy.Slots - 1 {
		b.Start(start, busy, job(20000, 10))
	}
	c := Candidates{Service: engine, Servers: []*fleet.Server{crashed, busy}}
	later := start.Add(firstPause)
	assert.Equal(t, b.Choose(later, c, job(10, 10), 0, false), crashed)
	b.Start(later, crashed, j)
	assert.Equal(t, b.Choose(later, c, job(10, 10), 0, false), busy)
	b.Start(later, busy, j)
	assert.Assert(t, b.Choose(later, c, job(10, 10), 0, false) == nil)
	// It answers, and gets as many requests as others.
	b.Finish(later, engine, crashed, j, Outcome{Answered: true, OK: true, First: true})
	b.Start(later, crashed, j)
	assert.Equal(t, b.Choose(later, c, job(10, 10), 0, false), crashed)
}
