package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
)

// Report processes a load report.
func (p *Pool) Report(now time.Time, r Report) {
	p.advanceClock(now)
	s := p.servers[r.Server]
	if s == nil {
		return
	}
	cold := s.capacity.Cold()
	s.capacity.Report(now, capacity.LoadReport{
		Taken:    now.Add(-max(0, r.Age)),
		Sequence: r.Sequence,
		Running:  r.Running,
		Waiting:  r.Waiting,
		Cold:     r.Cold,
	})
	if s.capacity.Cold() && !cold {
		p.picker.ForgetCache(s.node)
	}
	s.reportedVersion = r.Version
	p.refresh(s)
}

// ObserveCacheEvents processes cache events, which may be late or incomplete.
func (p *Pool) ObserveCacheEvents(now time.Time, events []CacheEvent) {
	p.advanceClock(now)
	for _, e := range events {
		s := p.servers[e.Server]
		switch {
		case s == nil:
		case e.Evicted:
			p.picker.BlockEvicted(s.node, e.Block)
		default:
			p.picker.BlockStored(s.node, e.Block)
		}
	}
}
