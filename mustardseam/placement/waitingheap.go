package placement

// waitingHeap implements heap.Interface; the first job is the next one to be placed.
type waitingHeap struct {
	waiting []*Waiting
	before  func(a, b *Waiting) bool
}

// Len returns the number of jobs.
func (h *waitingHeap) Len() int { return len(h.waiting) }

// Less reports whether job i is to be placed before job j.
func (h *waitingHeap) Less(i, j int) bool { return h.before(h.waiting[i], h.waiting[j]) }

// Swap swaps two jobs.
func (h *waitingHeap) Swap(i, j int) { h.waiting[i], h.waiting[j] = h.waiting[j], h.waiting[i] }

// Push appends a job.
func (h *waitingHeap) Push(w any) { h.waiting = append(h.waiting, w.(*Waiting)) }

// Pop removes and returns the last job.
func (h *waitingHeap) Pop() any {
	last := h.waiting[len(h.waiting)-1]
	h.waiting = h.waiting[:len(h.waiting)-1]
	return last
}
