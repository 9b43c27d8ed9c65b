package capacity

import "time"

const (
	// startSlack is the longest time between a grant and the start of the request: the time that an unfetched permit
	// is kept (1.5 s), the start window (700 ms) and 10 % drift of the latter.
	startSlack = 2270 * time.Millisecond
	// usualSlack covers the start of nearly all requests. Warm servers use it, since with startSlack a busy server
	// could never show that the requests of others have ended.
	usualSlack = 250 * time.Millisecond
	// endSlack is the time by which the end at the server and the arrival of the outcome may differ.
	endSlack = 250 * time.Millisecond
	// maxEnded bounds the memory of ends that no report covers yet.
	maxEnded = 512
)

// history knows which requests of this home ran at a past moment.
type history struct {
	running []time.Time // Grants of running requests, ascending.
	ended   []span      // Requests that ended after the last reading.
}

// span is the time between the grant of a request and the arrival of its outcome.
type span struct {
	from time.Time
	to   time.Time
}

func (h *history) start(now time.Time) { h.running = append(h.running, now) }

// end moves a request from the running ones to the ended ones and reports whether it was running.
func (h *history) end(from, now time.Time) bool {
	for i, at := range h.running {
		if !at.Equal(from) {
			continue
		}
		h.running = append(h.running[:i], h.running[i+1:]...)
		if len(h.ended) >= maxEnded {
			h.ended = append(h.ended[:0], h.ended[1:]...)
		}
		h.ended = append(h.ended, span{from, now})
		return true
	}
	return false
}

// at returns how many requests certainly ran at the moment, and how many may have run, if each was started at most
// slack after its grant.
func (h *history) at(t time.Time, slack time.Duration) (sure, possible int) {
	started := t.Add(-slack)
	for _, from := range h.running {
		if !from.After(started) {
			sure++
		}
		if !from.After(t) {
			possible++
		}
	}
	for _, s := range h.ended {
		if !s.from.After(started) && s.to.After(t.Add(endSlack)) {
			sure++
		}
		if !s.from.After(t) && s.to.After(t.Add(-endSlack)) {
			possible++
		}
	}
	return sure, possible
}

// prune forgets the ends that no report after the moment can show.
func (h *history) prune(t time.Time) {
	kept := h.ended[:0]
	for _, s := range h.ended {
		if s.to.After(t.Add(-endSlack)) {
			kept = append(kept, s)
		}
	}
	h.ended = kept
}
