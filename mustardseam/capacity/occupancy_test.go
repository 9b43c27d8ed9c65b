package capacity

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The fixed seed makes the result depend only on the source code.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.steps", "200")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// engineRequest is a request as seen by the simulated engine. A zero time lies in the future.
type engineRequest struct {
	granted     time.Time // Time of the grant.
	started     time.Time // Time at which the engine starts the request.
	ended       time.Time // Time at which the request ends at the engine.
	reportedAt  time.Time // Time at which the outcome arrives at the home instance.
	unconfirmed bool      // Whether the outcome arrives before the request ends.
}

// engineModel drives a server against a simulated engine whose true occupancy is known.
type engineModel struct {
	now      time.Time
	server   *Server
	requests []*engineRequest // Requests of this and of other instances.
	own      []*engineRequest // Requests of this instance that are not known to have ended.
	reports  []LoadReport     // Load reports that have not arrived.
	arrivals []time.Time      // Arrival times of reports.
	sequence uint64
	cold     bool
}

// TestOccupancyStaysWithinLimit guards against a grant that makes a server exceed the limit in force, which is the cold
// limit during cold start. The causes are delayed reports, late outcomes, cancelled requests that still run, orphaned
// requests and takeovers.
func TestOccupancyStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &engineModel{now: start, server: NewServer(Limits{Warm: 6, Cold: 2}, NewClass())}
		m.server.AwaitFreshReport(start)
		for range rapid.IntRange(0, 4).Draw(t, "foreign") {
			m.requests = append(m.requests, &engineRequest{granted: start, started: start})
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.wait, "grant": m.grant, "end": m.end, "cancel": m.cancel, "orphan": m.orphan,
			"read": m.read, "toggle-cold": m.toggleCold, "end-foreign": m.endForeign,
			"wait-again": m.wait, "grant-again": m.grant, "end-again": m.end, "read-again": m.read,
		})
	})
}

// wait advances the clock and delivers the outcomes and reports that have arrived.
func (m *engineModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
	m.own = slices.DeleteFunc(m.own, func(req *engineRequest) bool {
		reported := !req.reportedAt.IsZero() && !req.reportedAt.After(m.now)
		if reported {
			m.server.Finished(req.reportedAt, Sample{Granted: req.granted, OK: !req.unconfirmed, MayRun: req.unconfirmed})
		}
		return reported
	})
	for len(m.reports) > 0 && !m.arrivals[0].After(m.now) {
		m.server.Report(m.arrivals[0], m.reports[0])
		m.reports, m.arrivals = m.reports[1:], m.arrivals[1:]
	}
}

// engineLoad returns the number of requests that run at the engine or may still be started there.
func (m *engineModel) engineLoad() int {
	n := 0
	for _, req := range m.requests {
		if req.ended.IsZero() || req.ended.After(m.now) {
			n++
		}
	}
	return n
}

// grant dispatches requests until the server has no room and checks the limit before each.
func (m *engineModel) grant(t *rapid.T) {
	for m.server.Room(1) > 0 {
		limit := m.server.Limit()
		assert.Assert(t, m.engineLoad() < limit, "%d requests run, the limit is %d", m.engineLoad(), limit)
		assert.Assert(t, !m.server.Cold() || limit <= 2)
		delay := time.Duration(rapid.IntRange(0, 240).Draw(t, "start"))
		req := &engineRequest{granted: m.now, started: m.now.Add(delay * time.Millisecond)}
		m.server.RecordGrant(m.now)
		m.requests = append(m.requests, req)
		m.own = append(m.own, req)
	}
}

// drawRunning returns a random running request of this instance whose outcome is not on its way, or nil.
func (m *engineModel) drawRunning(t *rapid.T) *engineRequest {
	for _, req := range m.own {
		if req.reportedAt.IsZero() && req.started.Before(m.now) && rapid.Bool().Draw(t, "this") {
			return req
		}
	}
	return nil
}

func (m *engineModel) end(t *rapid.T) {
	if req := m.drawRunning(t); req != nil {
		req.ended = m.now
		req.reportedAt = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "told")) * time.Millisecond)
	}
}

func (m *engineModel) cancel(t *rapid.T) {
	if req := m.drawRunning(t); req != nil {
		req.reportedAt, req.unconfirmed = m.now, true
		req.ended = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "unconfirmed")) * time.Millisecond)
	}
}

// orphan simulates the death of the instance of a request. An instance that is only paused may still start the request
// shortly afterwards.
func (m *engineModel) orphan(t *rapid.T) {
	i := rapid.IntRange(0, 9).Draw(t, "own")
	if i >= len(m.own) || !m.own[i].reportedAt.IsZero() {
		return
	}
	req := m.own[i]
	m.own = slices.Delete(m.own, i, i+1)
	m.server.Orphan(m.now, req.granted)
	req.ended = m.now.Add(time.Duration(rapid.IntRange(300, 5000).Draw(t, "lives")) * time.Millisecond)
}

// endForeign ends a request that another instance started before the test.
func (m *engineModel) endForeign(*rapid.T) {
	for _, req := range m.requests {
		if req.granted.Equal(start) && req.ended.IsZero() {
			req.ended = m.now
			return
		}
	}
}

// toggleCold makes the engine cold or warm without warning. Running requests continue.
func (m *engineModel) toggleCold(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
		m.cold = !m.cold
	}
}

// read takes a load report that arrives up to 1 s later.
func (m *engineModel) read(t *rapid.T) {
	m.sequence++
	r := LoadReport{Taken: m.now, Sequence: m.sequence, Cold: m.cold}
	for _, req := range m.requests {
		if !req.started.After(m.now) && (req.ended.IsZero() || req.ended.After(m.now)) {
			r.Running++
		}
	}
	arrival := m.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "lag")) * time.Millisecond)
	if n := len(m.arrivals); n > 0 && arrival.Before(m.arrivals[n-1]) {
		arrival = m.arrivals[n-1]
	}
	m.reports, m.arrivals = append(m.reports, r), append(m.arrivals, arrival)
}
