package rollout

import "time"

// waiting is a candidate's answer that is to be judged.
type waiting struct {
	Sample
	at    time.Time
	mark  int        // The control's answers when it arrived.
	marks [Loads]int // Those by load bucket.
}

// reference is the control's window that a candidate's times are compared with.
type reference struct {
	*control
	allowance float64 // How much slower a good version may be.
	mark      int     // The window's answers when the candidate's arrived.
	after     counts
}

// reference returns the window of the load bucket or of the nearest one, where the control had an answer while the
// candidate's waited: an older window may be from before a disturbance of both versions. ok is false when there is none.
//
// A window under a higher load allows for more than needed. One under a lower load needs an allowance for each bucket,
// because a slow version keeps its servers busier than the control's and must be caught all the same.
func (j *Judge) reference(w waiting) (r reference, ok bool) {
	for _, followers := range []int{enoughNeighbours, 1} {
		for i := w.Load; i < Loads; i++ {
			if r, ok = j.follows(w, i, 1, followers); ok {
				return r, true
			}
		}
		for i := w.Load - 1; i >= 0; i-- {
			if r, ok = j.follows(w, i, 1+loadAllowance*float64(w.Load-i), followers); ok {
				return r, true
			}
		}
	}
	return reference{}, false
}

// follows returns the window of a bucket when it has at least n answers after the candidate's.
func (j *Judge) follows(w waiting, load int, allowance float64, n int) (reference, bool) {
	c := &j.controls[load]
	r := reference{control: c, allowance: allowance, mark: w.marks[load], after: c.since(w.marks[load])}
	return r, c.size() >= enough && r.after.n >= n
}
