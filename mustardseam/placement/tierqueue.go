package placement

import (
	"container/heap"
	"time"
)

// tierQueue holds the waiting jobs of one tier.
type tierQueue struct {
	tier     int
	waiting  []*Waiting
	work     float64    // Predicted work of the waiting jobs in seconds.
	arrivals throughput // Of the work, in seconds, of the jobs added to the queue.
}

// place calls try for the jobs in order and marks those that it reports as placed. It returns their work and whether try
// wants more.
func (t *tierQueue) place(
	now time.Time, overShare map[string]bool, try func(*Waiting) (placed, more bool),
) (work float64, more bool) {
	var classes [numClasses][]*Waiting
	for _, w := range t.waiting {
		c := classOf(now, w.Job)
		classes[c] = append(classes[c], w)
	}
	for c, waiting := range classes {
		// Usually only a few jobs are placed before there is no room left, so a heap is cheaper than sorting all jobs.
		h := &waitingHeap{waiting: waiting, before: func(a, b *Waiting) bool { return queueClass(c).before(overShare, a, b) }}
		heap.Init(h)
		for h.Len() > 0 {
			w := heap.Pop(h).(*Waiting)
			if w.placed, more = try(w); w.placed {
				work += jobWork(w.Job)
			}
			if !more {
				return work, false
			}
		}
	}
	return work, true
}
