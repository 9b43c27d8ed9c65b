package clock

import "time"

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// queue is a heap of events ordered by time, then by order of scheduling.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event. It implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event. It implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
