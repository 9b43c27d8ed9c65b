package capacity

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The seed is fixed, so that a verdict depends only on the tree.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.steps", "200")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// call is a request as the engine of a state-machine test knows it; zero times lie in the future.
type call struct {
	granted     time.Time
	started     time.Time
	ended       time.Time // At the engine.
	told        time.Time // When the outcome arrives at the home.
	unconfirmed bool      // The outcome arrives before the end.
}

// machine drives a server against an engine whose real occupancy is known.
type machine struct {
	now      time.Time
	server   *Server
	calls    []*call // Own and those of others.
	own      []*call // Not known to have ended.
	reports  []Reading
	arrivals []time.Time
	sequence uint64
	cold     bool
}

// TestOccupancyMachine guards against a grant that takes a server beyond the limit in force (the cold limit in a cold
// start) with reports that lag, outcomes that are late, cancelled requests that still run, orphans and a takeover.
func TestOccupancyMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: start, server: NewServer(Limits{Warm: 6, Cold: 2}, NewClass())}
		m.server.Baseline(start)
		for range rapid.IntRange(0, 4).Draw(t, "foreign") {
			m.calls = append(m.calls, &call{granted: start, started: start})
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.wait, "grant": m.grant, "end": m.end, "cancel": m.cancel, "orphan": m.orphan,
			"read": m.read, "toggle-cold": m.toggle, "end-foreign": m.endForeign,
			"wait-again": m.wait, "grant-again": m.grant, "end-again": m.end, "read-again": m.read,
		})
	})
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
	m.own = slices.DeleteFunc(m.own, func(c *call) bool {
		told := !c.told.IsZero() && !c.told.After(m.now)
		if told {
			m.server.Finished(c.told, Sample{Granted: c.granted, OK: !c.unconfirmed, MayRun: c.unconfirmed})
		}
		return told
	})
	for len(m.reports) > 0 && !m.arrivals[0].After(m.now) {
		m.server.Report(m.arrivals[0], m.reports[0])
		m.reports, m.arrivals = m.reports[1:], m.arrivals[1:]
	}
}

// real counts the requests that run at the engine or may still be started there.
func (m *machine) real() int {
	n := 0
	for _, c := range m.calls {
		if c.ended.IsZero() || c.ended.After(m.now) {
			n++
		}
	}
	return n
}

func (m *machine) grant(t *rapid.T) {
	for m.server.Room(1) > 0 {
		limit := m.server.Limit()
		assert.Assert(t, m.real() < limit, "%d requests run, the limit is %d", m.real(), limit)
		assert.Assert(t, !m.server.Cold() || limit <= 2)
		delay := time.Duration(rapid.IntRange(0, 240).Draw(t, "start"))
		c := &call{granted: m.now, started: m.now.Add(delay * time.Millisecond)}
		m.server.Dispatched(m.now)
		m.calls = append(m.calls, c)
		m.own = append(m.own, c)
	}
}

// finish draws a running request of this home that has no outcome on its way.
func (m *machine) finish(t *rapid.T) *call {
	for _, c := range m.own {
		if c.told.IsZero() && c.started.Before(m.now) && rapid.Bool().Draw(t, "this") {
			return c
		}
	}
	return nil
}

func (m *machine) end(t *rapid.T) {
	if c := m.finish(t); c != nil {
		c.ended = m.now
		c.told = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "told")) * time.Millisecond)
	}
}

func (m *machine) cancel(t *rapid.T) {
	if c := m.finish(t); c != nil {
		c.told, c.unconfirmed = m.now, true
		c.ended = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "unconfirmed")) * time.Millisecond)
	}
}

// orphan lets the instance of a request die, which may still start it a little later if it is only paused.
func (m *machine) orphan(t *rapid.T) {
	i := rapid.IntRange(0, 9).Draw(t, "own")
	if i >= len(m.own) || !m.own[i].told.IsZero() {
		return
	}
	c := m.own[i]
	m.own = slices.Delete(m.own, i, i+1)
	m.server.Orphan(m.now, c.granted)
	c.ended = m.now.Add(time.Duration(rapid.IntRange(300, 5000).Draw(t, "lives")) * time.Millisecond)
}

func (m *machine) endForeign(*rapid.T) {
	for _, c := range m.calls {
		if c.granted.Equal(start) && c.ended.IsZero() {
			c.ended = m.now
			return
		}
	}
}

// toggle turns the engine cold or warm without warning; a request that already runs goes on.
func (m *machine) toggle(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
		m.cold = !m.cold
	}
}

func (m *machine) read(t *rapid.T) {
	m.sequence++
	r := Reading{Taken: m.now, Sequence: m.sequence, Cold: m.cold}
	for _, c := range m.calls {
		if !c.started.After(m.now) && (c.ended.IsZero() || c.ended.After(m.now)) {
			r.Running++
		}
	}
	at := m.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "lag")) * time.Millisecond)
	if n := len(m.arrivals); n > 0 && at.Before(m.arrivals[n-1]) {
		at = m.arrivals[n-1]
	}
	m.reports, m.arrivals = append(m.reports, r), append(m.arrivals, at)
}
