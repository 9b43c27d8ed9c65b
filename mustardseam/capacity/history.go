package capacity

import "time"

const (
	// maxStartDelay is the longest time between a grant and the start of the request: the retention time of an
	// unfetched permit (1.5 s), the start window (700 ms) and 10 % clock drift of the latter.
	maxStartDelay = 2270 * time.Millisecond
	// usualStartDelay is the time within which nearly all requests start. It is used for warm servers, because with
	// maxStartDelay the reports of a busy server could never show that requests of other instances have ended.
	usualStartDelay = 250 * time.Millisecond
	// outcomeSkew is the largest expected difference between the end of a request at the server and the arrival of its
	// outcome.
	outcomeSkew = 250 * time.Millisecond
	// maxEnded is the maximum number of ended requests kept until a report covers them.
	maxEnded = 512
)

// requestHistory records the requests of this home instance, to count those that ran at a past time.
type requestHistory struct {
	running []time.Time   // Grant times of the running requests, ascending.
	ended   []requestSpan // Requests that ended after the last evaluated report.
}

// requestSpan is the time from the grant of a request to the arrival of its outcome.
type requestSpan struct {
	granted time.Time // Time of the grant.
	ended   time.Time // Time at which the outcome arrived.
}

// start records a request granted now.
func (h *requestHistory) start(now time.Time) { h.running = append(h.running, now) }

// end records the end of a running request and reports whether it was running.
func (h *requestHistory) end(granted, now time.Time) bool {
	for i, at := range h.running {
		if !at.Equal(granted) {
			continue
		}
		h.running = append(h.running[:i], h.running[i+1:]...)
		if len(h.ended) >= maxEnded {
			h.ended = append(h.ended[:0], h.ended[1:]...)
		}
		h.ended = append(h.ended, requestSpan{granted, now})
		return true
	}
	return false
}

// runningAt returns how many requests certainly ran at time t and how many may have run, if each started at most
// startDelay after its grant.
func (h *requestHistory) runningAt(t time.Time, startDelay time.Duration) (certain, possible int) {
	latestGrant := t.Add(-startDelay)
	for _, from := range h.running {
		if !from.After(latestGrant) {
			certain++
		}
		if !from.After(t) {
			possible++
		}
	}
	for _, s := range h.ended {
		if !s.granted.After(latestGrant) && s.ended.After(t.Add(outcomeSkew)) {
			certain++
		}
		if !s.granted.After(t) && s.ended.After(t.Add(-outcomeSkew)) {
			possible++
		}
	}
	return certain, possible
}

// prune deletes the ended requests that no report taken after t can include.
func (h *requestHistory) prune(t time.Time) {
	kept := h.ended[:0]
	for _, s := range h.ended {
		if s.ended.After(t.Add(-outcomeSkew)) {
			kept = append(kept, s)
		}
	}
	h.ended = kept
}
