package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/cost"
	"github.com/mustardseam/mustardseam/mustardseam/fair"
)

// request is the state of an Ask that is waiting, or that was granted and has not ended. Its item represents it in the
// queue.
type request struct {
	Ask
	item        fair.Item
	estimate    cost.Tokens
	arrived     time.Time
	latestStart time.Time // Latest start that can meet the deadline; zero without a deadline.
	heapIndex   int       // Index in Pool.latestStarts; -1 if not there.

	server               *server   // Server of the grant; nil while the request waits.
	version              string    // Version of the grant.
	granted              time.Time // Time of the grant.
	expectedCachedTokens int       // Prompt tokens expected in the prefix cache at the grant.
	pendingPrefillTokens int       // Prompt tokens that the server still had to compute at the grant.
}

// expired reports whether the deadline has passed.
func (r *request) expired(now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// waitMargin is the factor by which the estimated wait is multiplied before it is compared with the deadline. Without
// it, a full queue grows as long as the deadlines allow, and requests start so late that many fail in the end.
const waitMargin = 1.5

// missesDeadline reports whether the request cannot finish in time after the estimated wait.
func (r *request) missesDeadline(now time.Time, wait time.Duration) bool {
	return !r.latestStart.IsZero() && now.Add(time.Duration(waitMargin*float64(wait))).After(r.latestStart)
}

// byLatestStart is a heap of waiting requests, the earliest latestStart first.
type byLatestStart []*request

func (h byLatestStart) Len() int           { return len(h) }
func (h byLatestStart) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h byLatestStart) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *byLatestStart) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *byLatestStart) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.heapIndex = -1
	return r
}
