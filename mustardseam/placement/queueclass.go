package placement

import "time"

// queueClass orders the waiting jobs of one tier.
type queueClass int

const (
	classResumed queueClass = iota // The rest of an interrupted stream, whose earlier events would be lost.
	classInTime                    // The job can still meet its objective.
	classLate                      // The job cannot meet its objective any more; it is served where there is room.
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
