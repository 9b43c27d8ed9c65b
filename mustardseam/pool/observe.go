package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
)

// Report takes in a load report.
func (p *Pool) Report(now time.Time, r Report) {
	p.advance(now)
	s := p.servers[r.Server]
	if s == nil {
		return
	}
	cold := s.cap.Cold()
	s.cap.Report(now, capacity.Reading{
		Taken:    now.Add(-max(0, r.Age)),
		Sequence: r.Sequence,
		Running:  r.Running,
		Waiting:  r.Waiting,
		Cold:     r.Cold,
	})
	if s.cap.Cold() && !cold {
		p.picker.Forget(s.node)
	}
	s.runs = r.Version
	p.refresh(s)
}

// Cache takes in cache events, which may be late and have gaps.
func (p *Pool) Cache(now time.Time, events []CacheEvent) {
	p.advance(now)
	for _, e := range events {
		s := p.servers[e.Server]
		switch {
		case s == nil:
		case e.Evicted:
			p.picker.Evicted(s.node, e.Block)
		default:
			p.picker.Stored(s.node, e.Block)
		}
	}
}
