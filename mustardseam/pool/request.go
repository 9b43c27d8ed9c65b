package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/cost"
	"github.com/mustardseam/mustardseam/mustardseam/fair"
)

// request is an ask that waits, or that was granted and has not ended.
type request struct {
	Ask
	item     fair.Item
	estimate cost.Tokens
	arrived  time.Time
	latest   time.Time // Last useful start; zero without a deadline.
	place    int       // In the heap of latest starts, -1 when not there.

	server  *server // Nil while the request waits.
	version string
	granted time.Time
	cached  int // Prompt tokens that were expected in the prefix cache.
	ahead   int // Prompt tokens that the server still had to compute.
}

// late reports whether the deadline has passed.
func (r *request) late(now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// caution is the factor by which a wait may exceed its estimate. Without it a full queue is as long as the deadlines
// allow, and requests start so late that many fail in the end.
const caution = 1.5

// misses reports whether the request cannot finish in time after the estimated wait.
func (r *request) misses(now time.Time, wait time.Duration) bool {
	return !r.latest.IsZero() && now.Add(time.Duration(caution*float64(wait))).After(r.latest)
}

// byLatest is a heap of waiting requests by their last useful start.
type byLatest []*request

func (h byLatest) Len() int           { return len(h) }
func (h byLatest) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }

func (h byLatest) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *byLatest) Push(x any) {
	r := x.(*request)
	r.place = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *byLatest) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.place = -1
	return r
}
