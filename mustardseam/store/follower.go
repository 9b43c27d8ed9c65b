package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Wait is the longest hold of a long poll. A connection that goes silent is found after it, and a configuration has to
	// be in force within two seconds of its acknowledgement.
	Wait = 1500 * time.Millisecond
	// answerTime is added to the hold before a call counts as lost.
	answerTime = 500 * time.Millisecond
	// slowAnswerTime is the time for an answer that calls get while the store is slow: it may take 60 times as long as usual.
	slowAnswerTime = 2 * time.Second
	// pageTime is the time for one page of a list. A list that began while the store is silent hangs for so long after its
	// return, and the instance has no configuration until then. Every other try gets slowAnswerTime instead, so that a slow
	// store is not given up either.
	pageTime = time.Second
	// listTime bounds the reading of all items, which takes several pages.
	listTime = 5 * time.Second
	// leastRetry and mostRetry space the calls of an instance while the store fails; refused calls cost as much as others.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 1200 * time.Millisecond
	// spacing is the least time between two long polls that bring changes. Changes come in series, and each call is paid for.
	spacing = 200 * time.Millisecond
	// relayPoll is how often an instance that hears from others checks whether it still does.
	relayPoll = 100 * time.Millisecond
)

// FollowerConfig says what a follower follows and whom it tells.
type FollowerConfig struct {
	Client Client
	// Relayed reports whether another instance passes changes on in time, so that this one need not watch.
	Relayed func() bool
	// Changed gets new items in order; lapse says that deletions may come from leases that ran out in an outage.
	Changed func(items []Item, lapse bool)
	// Reached and Lost are told when the store answers again and when it stops to.
	Reached func()
	Lost    func(err error)
}

// Follower keeps a copy of the store; its methods are safe for concurrent use.
type Follower struct {
	cfg    FollowerConfig
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	copy     *Copy
	fresh    time.Time // Of the latest answer of the store; guarded by mu.
	direct   time.Time // Of the latest answer of the store to this instance; guarded by mu.
	lost     bool      // Guarded by mu.
	returned time.Time // When the store answered again after an outage; guarded by mu.
}

// lapseWindow is how long after the end of an outage deletions may come from leases that ran out in it.
const lapseWindow = 2500 * time.Millisecond

// NewFollower starts to follow the store.
func NewFollower(cfg FollowerConfig) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, ctx: ctx, cancel: cancel, done: make(chan struct{}), copy: NewCopy()}
	go f.run()
	return f
}

// Stop ends the follower; a call that waits may take until its timeout.
func (f *Follower) Stop() { f.cancel() }

// Done is closed when the follower has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Age returns how old the copy may be, judging by the latest answer of the store, and false before the first one.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.fresh), !f.fresh.IsZero()
}

// DirectAge returns how long ago the store answered this instance itself, and false before the first time.
func (f *Follower) DirectAge(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.direct), !f.direct.IsZero()
}

// Revision returns the revision of the copy.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Revision()
}

// After returns the changes after a revision, or the whole copy.
func (f *Follower) After(revision int64) (items []Item, whole bool, upTo int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items, whole = f.copy.After(revision)
	return items, whole, f.copy.Revision()
}

// Item returns the state of a key.
func (f *Follower) Item(key string) (Item, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Item(key)
}

// Hear takes in changes that another instance passed on; from is the revision that they follow.
func (f *Follower) Hear(items []Item, whole bool, from, upTo int64, age time.Duration) {
	now := time.Now()
	f.mu.Lock()
	if !whole && from > f.copy.Revision() {
		f.mu.Unlock()
		return
	}
	var fresh []Item
	if whole {
		fresh = f.copy.Reset(items, upTo)
	} else {
		fresh = f.copy.Apply(items, upTo)
	}
	if at := now.Add(-age); at.After(f.fresh) {
		f.fresh = at
	}
	f.tell(fresh, now)
}

// Put writes a key under a condition and takes the new state into the copy.
func (f *Follower) Put(ctx context.Context, key string, value []byte, expect int64) error {
	revision, err := f.cfg.Client.Put(ctx, key, value, expect)
	if err != nil {
		return err
	}
	f.mu.Lock()
	// The revision of the copy stays: changes between may not have come yet.
	fresh := f.copy.Apply([]Item{{Key: key, Value: value, Revision: revision}}, f.copy.Revision())
	f.tell(fresh, time.Now())
	return nil
}

// tell hands new items on and releases the lock.
func (f *Follower) tell(fresh []Item, now time.Time) {
	lapse := f.lost || now.Sub(f.returned) < lapseWindow && !f.returned.IsZero()
	defer f.mu.Unlock()
	if len(fresh) > 0 {
		f.cfg.Changed(fresh, lapse)
	}
}

func (f *Follower) run() {
	defer close(f.done)
	listed := false
	failures := 0
	for f.ctx.Err() == nil {
		if f.cfg.Relayed() {
			f.sleep(relayPoll)
			listed = true // What others pass on continues the copy.
			continue
		}
		var err error
		began := time.Now()
		if listed && f.Revision() > 0 {
			err = f.watch()
		} else {
			err = f.list(failures)
		}
		switch {
		case err == nil:
			listed, failures = true, 0
			f.reached()
			f.sleep(spacing - time.Since(began))
		case errors.Is(err, ErrCompacted):
			listed = false
		case f.ctx.Err() == nil:
			failures++
			f.missed(err)
			wait := min(leastRetry<<min(failures-1, 4), mostRetry)
			f.sleep(wait/2 + rand.N(wait))
		}
	}
}

// list reads all items; failures is the number of tries that failed before.
func (f *Follower) list(failures int) error {
	page := pageTime
	if failures%2 == 1 {
		page = slowAnswerTime
	}
	ctx, cancel := context.WithTimeout(f.ctx, listTime)
	defer cancel()

	items, revision, err := f.cfg.Client.List(ctx, page)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.note(time.Now())
	f.tell(f.copy.Reset(items, revision), time.Now())
	return nil
}

func (f *Follower) watch() error {
	f.mu.Lock()
	after, lost := f.copy.Revision(), f.lost
	f.mu.Unlock()
	wait, answer := Wait, answerTime
	if lost {
		// A call that may succeed while the store is slow costs no more than one that is given up.
		wait, answer = 0, slowAnswerTime
	}
	ctx, cancel := context.WithTimeout(f.ctx, wait+answer)
	defer cancel()

	items, revision, err := f.cfg.Client.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.note(time.Now())
	f.tell(f.copy.Apply(items, revision), time.Now())
	return nil
}

// note records that the store answered at a time; mu is held.
func (f *Follower) note(at time.Time) {
	if at.After(f.fresh) {
		f.fresh = at
	}
	f.direct = at
}

func (f *Follower) reached() {
	f.mu.Lock()
	was := f.lost
	if was {
		f.lost, f.returned = false, time.Now()
	}
	f.mu.Unlock()
	if was {
		f.cfg.Reached()
	}
}

func (f *Follower) missed(err error) {
	f.mu.Lock()
	was := f.lost
	f.lost = true
	f.mu.Unlock()
	if !was {
		f.cfg.Lost(err)
	}
}

func (f *Follower) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-f.ctx.Done():
	}
}
