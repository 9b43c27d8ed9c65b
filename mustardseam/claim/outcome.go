package claim

import (
	"slices"
	"time"
)

// Start records that a permit for the ask is handed out; it is false when the ask must not be granted.
func (j *Journal) Start(_ time.Time, ask string) bool {
	e := j.asks[ask]
	if e == nil || !e.granted || e.state != claimed || j.fenced {
		return false
	}
	e.state = started
	return true
}

// Finish records that the ask ran, with the HTTP status and the address of the instance that holds the answer.
func (j *Journal) Finish(now time.Time, ask string, status int, holder string) {
	if e := j.asks[ask]; e != nil {
		e.status = status
		e.holder = holder
		j.end(now, e, done)
	}
}

// NotRun records that the ask certainly did not run, which frees its key.
func (j *Journal) NotRun(now time.Time, ask string) {
	if e := j.asks[ask]; e != nil {
		j.end(now, e, notRun)
	}
}

// Doubt records that the ask may or may not have run.
func (j *Journal) Doubt(now time.Time, ask string) {
	if e := j.asks[ask]; e != nil {
		j.end(now, e, unknown)
	}
}

// Abandon settles the open claims of a failed entry instance: unknown when the start could have happened.
func (j *Journal) Abandon(now time.Time, from string) {
	for _, e := range j.asks {
		switch {
		case e.from != from:
		case e.state == claimed && !e.loaded:
			j.end(now, e, notRun)
		default:
			j.end(now, e, unknown)
		}
	}
}

// Owners returns the entry instances that have open claims, so that failed ones can be abandoned.
func (j *Journal) Owners() []string {
	var owners []string
	for _, e := range j.asks {
		owners = append(owners, e.from)
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}

func (j *Journal) end(now time.Time, e *entry, s state) {
	e.state = s
	delete(j.asks, e.ask)
	if s == notRun && e.slot == 0 && j.entries[e.key] == e {
		delete(j.entries, e.key) // Never written.
	}
	j.enqueue(now, e)
}
