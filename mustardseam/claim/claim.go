package claim

import "time"

// maxAsk bounds the ids that a caller can put into a row, in bytes.
const maxAsk = 256

// Claim claims a key for an ask of the entry instance from. It may be called again with the same ask, as on each poll:
// the entry instance polls only for an ask that it has not started.
func (j *Journal) Claim(now time.Time, key, ask, from string, s Standing) Decision {
	if j.fenced || j.open == nil || s == ByShare || len(ask) > maxAsk || len(from) > maxAsk {
		return Decision{Result: Unavailable}
	}
	at, timed := Time(key)
	if timed && (now.Sub(at) > j.cfg.Retention || at.Sub(now) > j.cfg.Gap) {
		return Decision{Result: Expired}
	}
	e := j.entries[digestOf(key)]
	switch {
	case e != nil && e.state != notRun:
		return j.again(now, e, key, ask, s)
	case timed && j.inGap(at):
		return Decision{Result: Unknown}
	case j.failing(now) && !j.memory(now, key, s):
		return j.unavailable()
	}
	e = &entry{key: digestOf(key), ask: ask, from: from, row: -1, granted: j.failing(now)}
	j.entries[e.key] = e
	j.asks[ask] = e
	j.enqueue(now, e)
	return j.first(e)
}

func (j *Journal) first(e *entry) Decision {
	if e.granted {
		return Decision{Result: Proceed}
	}
	return Decision{Result: Wait}
}

// again answers a claim of a key that is known.
func (j *Journal) again(now time.Time, e *entry, key, ask string, s Standing) Decision {
	switch {
	case e.state == done:
		return Decision{Result: Done, Status: e.status, Holder: e.holder, Request: e.ask}
	case e.state == unknown:
		return Decision{Result: Unknown}
	case e.ask != ask || e.state == started:
		return Decision{Result: InProgress}
	case !e.granted && j.failing(now):
		return j.withoutStore(now, e, key, s)
	default:
		return j.first(e)
	}
}

// withoutStore settles a claim that waits for a write while the store fails. It was never granted, so that it certainly
// did not run.
func (j *Journal) withoutStore(now time.Time, e *entry, key string, s Standing) Decision {
	if j.memory(now, key, s) {
		e.granted = true
		return j.first(e)
	}
	j.NotRun(now, e.ask)
	return j.unavailable()
}

// unavailable refuses the claim of a key that has no entry. Once the first write has fenced earlier homes off, the entries
// are all claims that there are; before it, an earlier home may still have run the key.
func (j *Journal) unavailable() Decision {
	return Decision{Result: Unavailable, NotRun: j.ready}
}

// failing tells whether a write has been unanswered for Gap.
func (j *Journal) failing(now time.Time) bool {
	return j.flight != nil && now.Sub(j.flight.builtAt) >= j.cfg.Gap
}

// memory tells whether a key may be claimed in memory only. The next home answers unknown for key times from the last
// stamp on, so the key must not be older than any stamp that may be in the store, the one in flight included, and not
// ahead of the clock.
func (j *Journal) memory(now time.Time, key string, s Standing) bool {
	at, timed := Time(key)
	if !timed || s != ByConsent || !j.ready || now.Sub(j.flight.builtAt) < j.cfg.Memory {
		return false
	}
	return at.Unix() >= j.flight.through/1000 && !at.After(now)
}

// enqueue gives an entry a place in the next write.
func (j *Journal) enqueue(now time.Time, e *entry) {
	if e.queued {
		return
	}
	if len(j.queue) == 0 {
		j.queuedAt = now
	}
	e.queued = true
	j.queue = append(j.queue, e)
}
