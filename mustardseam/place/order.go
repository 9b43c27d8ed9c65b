package place

// order is a heap of waiting jobs whose first one is to be placed first.
type order struct {
	waiting []*Waiting
	before  func(a, b *Waiting) bool
}

// Len returns the number of jobs.
func (o *order) Len() int { return len(o.waiting) }

// Less reports whether a job goes before another one.
func (o *order) Less(i, j int) bool { return o.before(o.waiting[i], o.waiting[j]) }

// Swap exchanges two jobs.
func (o *order) Swap(i, j int) { o.waiting[i], o.waiting[j] = o.waiting[j], o.waiting[i] }

// Push adds a job at the end.
func (o *order) Push(w any) { o.waiting = append(o.waiting, w.(*Waiting)) }

// Pop removes the last job.
func (o *order) Pop() any {
	last := o.waiting[len(o.waiting)-1]
	o.waiting = o.waiting[:len(o.waiting)-1]
	return last
}
