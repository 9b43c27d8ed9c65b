package member

import "time"

// peer is what a table knows of one incarnation of another instance.
type peer struct {
	Member
	progress  time.Time // When the counter was last seen to rise.
	replaced  bool      // Another incarnation of the id is in force.
	shown     bool      // The platform's list has shown the id since this incarnation was heard of.
	gone      bool      // Removed; kept so that late news does not bring it back.
	sent      uint64    // Counter when last sent.
	due       time.Time // When the counter first changed after it was last sent.
	greeted   bool      // Was sent a heartbeat.
	described int       // Entries to send until the next one with all details; 0 for the next.
}

// state returns the state at a time.
func (p *peer) state(now time.Time, cfg Config) State {
	silent := now.Sub(p.progress)
	switch {
	case p.gone:
		return Unknown
	case p.replaced || silent >= cfg.Fail:
		return Failed
	case silent >= cfg.Suspect:
		return Suspected
	}
	return Alive
}

// update takes in an entry with a higher counter.
func (p *peer) update(now time.Time, m Member) {
	if p.Counter == p.sent {
		p.due = now
	}
	p.Counter = m.Counter
	if m.ID == "" {
		return
	}
	if m.Leaving != p.Leaving || m.Address != p.Address || m.Revision != p.Revision {
		p.described = 0
	}
	p.Member = m
}

// entry returns what the next heartbeat says of the peer: all details when they are due, else the progress only.
func (p *peer) entry(details bool) Member {
	p.sent = p.Counter
	if p.described > 0 && !details {
		p.described--
		return Member{Incarnation: p.Incarnation, Counter: p.Counter}
	}
	p.described = describeEvery - 1
	return p.Member
}
