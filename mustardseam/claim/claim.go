package claim

import "time"

// maxIDBytes bounds the length of the ask and instance ids that a caller can put into a row.
const maxIDBytes = 256

// Claim claims a key for an ask of the entry instance from. It may be called repeatedly with the same ask, as it is
// at each poll; an entry instance polls only for an ask that it has not started.
func (j *Journal) Claim(now time.Time, key, ask, from string, s Authority) Decision {
	if j.fenced || j.openSlot == nil || s == ByStaticShare || len(ask) > maxIDBytes || len(from) > maxIDBytes {
		return Decision{Result: Unavailable}
	}
	at, timed := KeyTime(key)
	if timed && (now.Sub(at) > j.cfg.Retention || at.Sub(now) > j.cfg.FailureThreshold) {
		return Decision{Result: Expired}
	}
	e := j.entries[digestOf(key)]
	switch {
	case e != nil && e.state != notRun:
		return j.decideKnownKey(now, e, key, ask, s)
	case timed && j.inGap(at):
		return Decision{Result: Unknown}
	case j.storeFailing(now) && !j.mayClaimInMemory(now, key, s):
		return j.refuseUnavailable()
	}
	e = &entry{key: digestOf(key), ask: ask, owner: from, rowIndex: -1, grantable: j.storeFailing(now)}
	j.entries[e.key] = e
	j.openByAsk[ask] = e
	j.enqueue(now, e)
	return j.grantDecision(e)
}

// grantDecision returns the decision for an ask that holds the claim.
func (j *Journal) grantDecision(e *entry) Decision {
	if e.grantable {
		return Decision{Result: Proceed}
	}
	return Decision{Result: Wait}
}

// decideKnownKey decides a claim of a key that has an entry.
func (j *Journal) decideKnownKey(now time.Time, e *entry, key, ask string, s Authority) Decision {
	switch {
	case e.state == done:
		return Decision{Result: Done, Status: e.status, AnswerAddress: e.holder, Request: e.ask}
	case e.state == unknown:
		return Decision{Result: Unknown}
	case e.ask != ask || e.state == started:
		return Decision{Result: InProgress}
	case !e.grantable && j.storeFailing(now):
		return j.decideWithoutStore(now, e, key, s)
	default:
		return j.grantDecision(e)
	}
}

// decideWithoutStore decides a claim that waits for a write while the store fails. Its ask was never granted, so it
// certainly did not run.
func (j *Journal) decideWithoutStore(now time.Time, e *entry, key string, s Authority) Decision {
	if j.mayClaimInMemory(now, key, s) {
		e.grantable = true
		return j.grantDecision(e)
	}
	j.MarkNotRun(now, e.ask)
	return j.refuseUnavailable()
}

// refuseUnavailable refuses the claim of a key without an entry. After this home's first write has fenced off earlier
// homes, the entries include all claims. Before that, an earlier home may still have run the key.
func (j *Journal) refuseUnavailable() Decision {
	return Decision{Result: Unavailable, NotRun: j.ready}
}

// storeFailing reports whether a write has been unanswered for FailureThreshold.
func (j *Journal) storeFailing(now time.Time) bool {
	return j.inFlight != nil && now.Sub(j.inFlight.builtAt) >= j.cfg.FailureThreshold
}

// mayClaimInMemory reports whether a key may be claimed in memory only. The next home answers Unknown for key times
// from the last stamp on. So the key must not be older than any stamp that may be in the store, including the one in
// flight, and must not be ahead of the clock.
func (j *Journal) mayClaimInMemory(now time.Time, key string, s Authority) bool {
	at, timed := KeyTime(key)
	if !timed || s != ByConsent || !j.ready || now.Sub(j.inFlight.builtAt) < j.cfg.MemoryClaimsAfter {
		return false
	}
	return at.Unix() >= j.inFlight.completeThrough/1000 && !at.After(now)
}

// enqueue schedules an entry for the next write.
func (j *Journal) enqueue(now time.Time, e *entry) {
	if e.queued {
		return
	}
	if len(j.queue) == 0 {
		j.oldestQueuedAt = now
	}
	e.queued = true
	j.queue = append(j.queue, e)
}
