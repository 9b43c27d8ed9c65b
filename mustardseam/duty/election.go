package duty

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// phase is the progress of an instance towards the record.
type phase int

const (
	idle      phase = iota // The instance does not try to get the record.
	granting               // A lease is being granted.
	acquiring              // The record is to be written, or it is not known whether it was.
	holding                // The instance holds the record.
)

// Election decides when this instance tries to acquire the record of the duties, renews its lease and gives it up. It makes
// no calls; Step returns the calls to make, and their results are passed back. Its methods are safe for concurrent use.
type Election struct {
	cfg Config

	// mu guards the fields below.
	mu          sync.Mutex
	phase       phase
	lease       int64
	leaseSent   time.Duration // When the call that granted the lease was sent.
	record      Record        // Record of the current attempt.
	expect      int64         // Revision that the write of the record expects.
	writing     bool          // A write of the record has no answer yet.
	writes      int           // Writes of the record that were sent; one may be carried out late.
	nextWrite   time.Duration // Earliest time of the next write of the record.
	era         int64         // Era in which the lease was granted.
	token       int64
	revision    int64 // Revision of the record.
	since       time.Duration
	until       time.Duration // End of the right to act.
	confirming  bool          // The record was found after a write without an answer; its lease is to be renewed first.
	renewals    int           // Renewals without an answer.
	nextRenewal time.Duration
	resigned    string        // Why the record is to be given up; empty otherwise.
	vacantSince time.Duration // When the record was first seen to be missing; 0 while there is one.
	notBefore   time.Duration // Earliest time of the next attempt.
	delay       time.Duration // Delay of this candidate in its latest attempt.
	outdated    time.Duration // When the record was first seen to be from an earlier era; 0 if it is not.
	ending      []int64       // Leases to end.
	holder      string        // Holder by the copy of the store.
	reason      string
}

// NewElection returns an election in which this instance takes part from one TTL after its start. An earlier run of the
// instance may have held the record, and another holder may have acted since.
func NewElection(cfg Config) *Election {
	return &Election{cfg: cfg, notBefore: cfg.Start + cfg.TTL, reason: "started"}
}

// Right returns the permission of this instance to act; ok is false while it must not act.
func (e *Election) Right(now time.Duration) (right Right, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	right = Right{Holder: e.cfg.Instance, Token: e.token, Until: e.until}
	if e.phase != holding || e.resigned != "" || !right.IsValid(now) {
		return Right{}, false
	}
	return right, true
}

// Refused records that a call with a token was refused because of a higher one.
func (e *Election) Refused(now time.Duration, token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase == holding && e.token == token {
		e.lose(now, "a call was refused for a higher token")
	}
}

// Resign gives up the record. The right to act ends at once; the lease ends with the next Step of which finished is set. The
// instance does not try to get the record again for the given time and at least one TTL.
func (e *Election) Resign(now, pause time.Duration, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase != idle && e.resigned == "" {
		e.resigned = reason
	}
	e.notBefore = max(e.notBefore, now+max(pause, e.cfg.TTL))
}

// Status returns the state as shown to operators.
func (e *Election) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{Holder: e.holder, Reason: e.reason}
	if e.phase == holding {
		s.Held, s.Token, s.Since, s.Until = true, e.token, e.since, e.until
	}
	return s
}

// Step returns the next call to make, of kind NoAction if there is none. finished says that no call on a duty is waiting for
// its answer, so that a lease that is to be given up may end.
func (e *Election) Step(now time.Duration, o Observation, finished bool) Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holder = ""
	if o.Record != nil {
		e.holder = o.Record.Holder
	}
	e.observeVacancy(now, o)
	if e.resigned != "" && finished && e.phase != granting && !e.writing {
		e.lose(now, e.resigned)
	}
	if len(e.ending) > 0 {
		lease := e.ending[0]
		e.ending = e.ending[1:]
		return Action{Kind: End, Lease: lease}
	}
	switch e.phase {
	case idle:
		return e.stepIdle(now, o)
	case acquiring:
		return e.stepAcquiring(now, o)
	case holding:
		return e.stepHolding(now, o)
	}
	return Action{}
}

// observeVacancy updates since when the record is missing or outdated; mu must be held.
func (e *Election) observeVacancy(now time.Duration, o Observation) {
	switch {
	case o.Record == nil:
		e.outdated = 0
	case !o.RecordOutdated:
		e.outdated, e.vacantSince = 0, 0
		return
	default:
		if e.outdated == 0 {
			e.outdated = now
		}
		// The holder of an outdated record gives up its right within one TTL, with its next renewal or without one.
		if now-e.outdated < e.cfg.TTL {
			e.vacantSince = 0
			return
		}
	}
	if e.vacantSince == 0 {
		e.vacantSince = now
	}
}

// stepIdle begins an attempt if it is this instance's turn; mu must be held.
func (e *Election) stepIdle(now time.Duration, o Observation) Action {
	if !o.Eligible || !o.Current || o.Revision == 0 || e.vacantSince == 0 || now < e.notBefore {
		return Action{}
	}
	e.delay = min(time.Duration(o.Rank)*candidateStep, maxCandidateDelay) + o.Delay
	if now < max(e.vacantSince, e.cfg.Start+e.cfg.TTL)+e.delay {
		return Action{}
	}
	e.phase, e.era, e.expect, e.resigned = granting, o.Era, o.RecordRevision, ""
	return Action{Kind: Grant}
}

// Granted passes the result of a Grant that was sent at a time.
func (e *Election) Granted(sent, now time.Duration, lease, era, sinceMS int64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase != granting {
		return
	}
	if err != nil || era != e.era {
		e.phase, e.resigned, e.notBefore = idle, "", max(e.notBefore, now+retryDelay+e.delay)
		return
	}
	e.phase, e.lease, e.leaseSent, e.writes, e.nextWrite, e.confirming = acquiring, lease, sent, 0, now, false
	e.record = Record{Holder: e.cfg.Instance, Run: e.cfg.Run, Attempt: rand.Int64(), SinceMS: sinceMS}
}

// stepAcquiring writes the record and finds out whether a write without an answer was carried out; mu must be held.
func (e *Election) stepAcquiring(now time.Duration, o Observation) Action {
	own := o.Record != nil && *o.Record == e.record
	switch {
	case o.Era > e.era:
		e.lose(now, "store was restored from a copy")
	case own && e.writes > 0 && o.Era == e.era:
		e.confirming = true
		e.revision = o.RecordRevision
		if e.renewals == 0 {
			e.renewals++
			return Action{Kind: Renew, Lease: e.lease}
		}
	case o.Record != nil && !own && !o.RecordOutdated:
		e.lose(now, "another instance acquired the record")
	case now > e.leaseSent+e.cfg.TTL:
		e.lose(now, "record was not acquired in time")
	case !e.writing && now >= e.nextWrite && now < e.leaseSent+e.cfg.TTL-e.cfg.margin():
		e.writing = true
		e.writes++
		return Action{Kind: Acquire, Lease: e.lease, Record: e.record, Expect: e.expect}
	}
	return Action{}
}

// Acquired passes the result of an Acquire: the position of the write, or an error.
func (e *Election) Acquired(now time.Duration, lease, era, revision int64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase != acquiring || e.lease != lease {
		return
	}
	e.writing = false
	switch {
	case err == nil && era == e.era:
		e.hold(now, revision, e.leaseSent)
	case err == nil:
		e.lose(now, "store was restored from a copy")
	case errors.Is(err, ErrNoLease):
		e.lease = 0
		e.lose(now, "lease ended before the record was acquired")
	case errors.Is(err, ErrConflict) && e.writes == 1:
		e.lose(now, "another instance acquired the record")
	default:
		// The write may still be carried out, or an earlier one was. The record then appears in the copy of the store.
		e.nextWrite = now + retryDelay
	}
}

// hold records that this instance holds the record since a renewal that was sent at a time; mu must be held.
func (e *Election) hold(now time.Duration, revision int64, sent time.Duration) {
	e.phase, e.revision, e.token, e.since = holding, revision, Token(e.era, revision), now
	e.until, e.nextRenewal, e.renewals, e.confirming = sent+e.cfg.TTL-e.cfg.margin(), sent+e.cfg.renewInterval(), 0, false
	e.reason = "acquired the record"
}

// stepHolding renews the lease and notices when the record is lost; mu must be held.
func (e *Election) stepHolding(now time.Duration, o Observation) Action {
	seen := o.Era == e.era && o.Revision >= e.revision
	switch {
	case o.Era > e.era:
		e.lose(now, "store was restored from a copy")
	case seen && o.Record == nil:
		e.lose(now, "record was removed")
	case seen && *o.Record != e.record:
		e.lose(now, "another instance acquired the record")
	case now >= e.nextRenewal && e.renewals < maxRenewals:
		e.renewals++
		e.nextRenewal = now + e.cfg.renewRetryInterval()
		return Action{Kind: Renew, Lease: e.lease}
	}
	return Action{}
}

// Renewed passes the result of a Renew that was sent at a time.
func (e *Election) Renewed(sent, now time.Duration, lease, era int64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease != lease || e.phase != holding && e.phase != acquiring {
		return
	}
	e.renewals = max(0, e.renewals-1)
	switch {
	case era > e.era:
		e.lose(now, "store was restored from a copy")
	case errors.Is(err, ErrNoLease):
		e.lease = 0
		e.lose(now, "lease ended")
	case err != nil:
	case e.phase == acquiring && e.confirming:
		e.hold(now, e.revision, sent)
	case e.phase == holding:
		e.until = max(e.until, sent+e.cfg.TTL-e.cfg.margin())
		e.nextRenewal = max(now, sent+e.cfg.renewInterval())
	}
}

// lose ends the attempt or the right to act; mu must be held.
func (e *Election) lose(now time.Duration, reason string) {
	if e.phase == holding {
		e.notBefore = max(e.notBefore, now+e.cfg.TTL)
	} else {
		e.notBefore = max(e.notBefore, now+retryDelay+e.delay)
	}
	if e.lease != 0 && (e.phase == holding || e.writes > 0) {
		e.ending = append(e.ending, e.lease)
	}
	e.phase, e.lease, e.token, e.until, e.renewals, e.resigned = idle, 0, 0, 0, 0, ""
	e.writing, e.writes, e.confirming, e.vacantSince = false, 0, false, 0
	e.reason = reason
}
