package claim

import (
	"slices"
	"time"
)

// Start records that a permit for the ask is being handed out. It returns false if the ask must not be granted.
func (j *Journal) Start(_ time.Time, ask string) bool {
	e := j.openByAsk[ask]
	if e == nil || !e.grantable || e.state != claimed || j.fenced {
		return false
	}
	e.state = started
	return true
}

// MarkDone records that the ask ran, with the HTTP status and the address of the instance that keeps the answer.
func (j *Journal) MarkDone(now time.Time, ask string, status int, holder string) {
	if e := j.openByAsk[ask]; e != nil {
		e.status = status
		e.holder = holder
		j.settle(now, e, done)
	}
}

// MarkNotRun records that the ask certainly did not run, which frees its key.
func (j *Journal) MarkNotRun(now time.Time, ask string) {
	if e := j.openByAsk[ask]; e != nil {
		j.settle(now, e, notRun)
	}
}

// MarkUnknown records that the ask may or may not have run.
func (j *Journal) MarkUnknown(now time.Time, ask string) {
	if e := j.openByAsk[ask]; e != nil {
		j.settle(now, e, unknown)
	}
}

// SettleFailedOwner settles the open claims of a failed entry instance. A claim that may have been started becomes
// unknown.
func (j *Journal) SettleFailedOwner(now time.Time, from string) {
	for _, e := range j.openByAsk {
		switch {
		case e.owner != from:
		case e.state == claimed && !e.fromStore:
			j.settle(now, e, notRun)
		default:
			j.settle(now, e, unknown)
		}
	}
}

// Owners returns the entry instances that have open claims, so that the claims of failed instances can be abandoned.
func (j *Journal) Owners() []string {
	var owners []string
	for _, e := range j.openByAsk {
		owners = append(owners, e.owner)
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}

// settle records the outcome of an open claim.
func (j *Journal) settle(now time.Time, e *entry, s state) {
	e.state = s
	delete(j.openByAsk, e.ask)
	if s == notRun && e.lastSlot == 0 && j.entries[e.key] == e {
		delete(j.entries, e.key) // The claim was never written.
	}
	j.enqueue(now, e)
}
