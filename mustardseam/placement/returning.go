package placement

import (
	"maps"
	"time"
)

const (
	// maxReturning bounds the table of returning requests. At 2,000 refusals a second that each name 4 s, 8,000 return.
	maxReturning = 16384
	// returnGrace is how long after the named time a returning request is still recognized.
	returnGrace = time.Second
	// earliestReturn is the fraction of the retry delay before which a request is not taken for the returning one, so that
	// an equal request that arrives meanwhile is treated as new.
	earliestReturn = 0.5
)

// Return is a request that was refused and is expected to return.
type Return struct {
	FirstArrival time.Time // Time at which the first attempt arrived.
	From         time.Time // Time from which the request is recognized.
	Until        time.Time // Time until which the request is recognized.
}

// NewReturn returns the entry of a request that is refused now and named a delay.
func NewReturn(now, firstArrival time.Time, retryAfter time.Duration) Return {
	return Return{
		FirstArrival: firstArrival, From: now.Add(time.Duration(earliestReturn * float64(retryAfter))),
		Until: now.Add(retryAfter + returnGrace),
	}
}

// ReturnTable holds the requests that are expected to return, keyed by their fingerprints. It is bounded, and its zero value
// is empty.
type ReturnTable struct {
	entries map[uint64]Return
	latest  time.Time // Latest end of an entry.
}

// Add records a request. A full table drops the entries that are over; if none is, the request is not recorded.
func (t *ReturnTable) Add(now time.Time, fingerprint uint64, r Return) {
	if t.entries == nil || !now.Before(t.latest) {
		t.entries = map[uint64]Return{}
	}
	if len(t.entries) >= maxReturning {
		t.removeOver(now)
		if len(t.entries) >= maxReturning {
			return
		}
	}
	t.entries[fingerprint] = r
	if r.Until.After(t.latest) {
		t.latest = r.Until
	}
}

// Take removes the entry of a request and returns it; ok is false if the request is not expected now.
func (t *ReturnTable) Take(now time.Time, fingerprint uint64) (r Return, ok bool) {
	r, ok = t.entries[fingerprint]
	if !ok || now.Before(r.From) || now.After(r.Until) {
		return Return{}, false
	}
	delete(t.entries, fingerprint)
	return r, true
}

// Any reports whether a request may be expected.
func (t *ReturnTable) Any(now time.Time) bool { return len(t.entries) > 0 && now.Before(t.latest) }

// Len returns the number of entries.
func (t *ReturnTable) Len() int { return len(t.entries) }

// All returns the entries that are not over.
func (t *ReturnTable) All(now time.Time) map[uint64]Return {
	t.removeOver(now)
	return maps.Clone(t.entries)
}

// removeOver removes the entries whose time is over.
func (t *ReturnTable) removeOver(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ uint64, r Return) bool { return now.After(r.Until) })
}
