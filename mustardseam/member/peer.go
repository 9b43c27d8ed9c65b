package member

import "time"

// peer is the state of one incarnation of another instance.
type peer struct {
	Member
	lastProgress     time.Time // When the counter was last seen to rise, or a probe last succeeded.
	replaced         bool      // Another incarnation of the id is the current one.
	everListed       bool      // The platform's list has shown the id since the first entry of this incarnation was received.
	removed          bool      // Removed from the table; kept so that a late entry does not add it again.
	lastSentCounter  uint64    // Counter in the last entry sent.
	changedAt        time.Time // When the counter first rose after the last entry was sent.
	contacted        bool      // A heartbeat was sent to this incarnation.
	entriesUntilFull int       // Entries to send before the next one with all details; 0 if the next one has them.
}

// state returns the state at the given time.
func (p *peer) state(now time.Time, cfg Config) State {
	sinceProgress := now.Sub(p.lastProgress)
	switch {
	case p.removed:
		return Unknown
	case p.replaced || sinceProgress >= cfg.FailAfter:
		return Failed
	case sinceProgress >= cfg.SuspectAfter:
		return Suspected
	}
	return Alive
}

// update applies an entry with a higher counter.
func (p *peer) update(now time.Time, m Member) {
	if p.Counter == p.lastSentCounter {
		p.changedAt = now
	}
	p.Counter = m.Counter
	if m.ID == "" {
		return
	}
	if m.Leaving != p.Leaving || m.Address != p.Address || m.Revision != p.Revision {
		p.entriesUntilFull = 0
	}
	p.Member = m
}

// heartbeatEntry returns the entry for the next heartbeat: with all details if they are due, else with the progress
// only.
func (p *peer) heartbeatEntry(details bool) Member {
	p.lastSentCounter = p.Counter
	if p.entriesUntilFull > 0 && !details {
		p.entriesUntilFull--
		return Member{Incarnation: p.Incarnation, Counter: p.Counter}
	}
	p.entriesUntilFull = fullEntryInterval - 1
	return p.Member
}
