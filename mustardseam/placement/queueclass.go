package placement

import "time"

// queueClass orders the waiting jobs of one tier.
type queueClass int

const (
	classResumed queueClass = iota // The rest of an interrupted stream, whose earlier events would be lost.
	classInTime                    // The job can still meet its objective.
	classLate                      // The job cannot meet its objective any more; it is served where there is room.
	numClasses
)

// classOf returns the class of a job.
func classOf(now time.Time, j *Job) queueClass {
	switch {
	case j.Resumed:
		return classResumed
	case j.Late(now):
		return classLate
	}
	return classInTime
}

// before reports whether job a is to be placed before job b of the same tier and class.
func (c queueClass) before(overShare map[string]bool, a, b *Waiting) bool {
	if ra, rb := a.Job.Returned(), b.Job.Returned(); ra != rb {
		return ra
	}
	if c == classLate {
		if !a.PlaceBy.Equal(b.PlaceBy) {
			return a.PlaceBy.Before(b.PlaceBy)
		}
		return a.seq < b.seq
	}
	if a.Job.RouteTier != b.Job.RouteTier {
		return a.Job.RouteTier < b.Job.RouteTier
	}
	if oa, ob := overShare[a.Job.Team], overShare[b.Job.Team]; oa != ob {
		return ob
	}
	if la, lb := a.Job.latestStart(), b.Job.latestStart(); !la.Equal(lb) {
		return la.Before(lb)
	}
	return a.seq < b.seq
}
