package rollout

import "time"

// waiting is a candidate's answer that is to be judged.
type waiting struct {
	Sample
	at     time.Time
	all    neighbourhood
	ref    neighbourhood
	window *control // That its times are compared with; nil when there is none.
	bad    flags
	tested flags
}

// neighbourhood is the place of a candidate's answer in a sequence of the control's.
type neighbourhood struct {
	mark   int // The control's answers when it arrived.
	before counts
}

func place(s *sequence) neighbourhood {
	return neighbourhood{mark: s.total, before: s.since(s.total - neighbours)}
}
