package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

func (f *Follower) run() {
	defer close(f.done)
	listed := false
	failures := 0
	for f.ctx.Err() == nil {
		f.releaseHeld()
		if f.cfg.IsRelayed() {
			f.sleep(relayCheckInterval)
			listed, failures = true, 0 // The replica is continued by relayed changes, so it needs no list.
			continue
		}
		var err error
		began := time.Now()
		if listed && f.Position().Revision > 0 {
			err = f.watch()
		} else {
			err = f.list(failures)
		}
		switch {
		case err == nil:
			listed, failures = true, 0
			f.markAvailable()
			f.sleep(minPollInterval - time.Since(began))
		case errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored):
			if !listed {
				f.sleep(minRetryDelay)
			}
			listed = false
		case f.ctx.Err() == nil:
			failures++
			f.markUnavailable(began, err)
			wait := min(minRetryDelay<<min(failures-1, 4), maxRetryDelay)
			f.sleep(max(minRetryDelay/2, wait/2+rand.N(wait)-time.Since(began)))
		}
	}
}

// list reads all items; failures is the number of consecutive failed calls before this one.
func (f *Follower) list(failures int) error {
	page := pageTimeout
	if failures%2 == 1 {
		page = slowResponseTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, listTimeout)
	defer cancel()

	items, at, err := f.cfg.Client.List(ctx, page)
	if err != nil {
		return err
	}
	f.cfg.OnListed(at, len(items))
	now := time.Now()
	f.mu.Lock()
	f.recordEra(at)
	known := f.replica.Position()
	if known.Revision > 0 && at.Era < known.Era {
		f.mu.Unlock()
		return errOutdated
	}
	f.recordResponse(now)
	f.recordRestoration(known.Revision > 0 && at.Era != known.Era, now)
	f.notifyAndUnlock(f.replica.Reset(items, at), now)
	return nil
}

func (f *Follower) watch() error {
	f.mu.Lock()
	after, unavailable := f.replica.Position(), f.unavailable
	f.mu.Unlock()
	wait, margin := LongPollWait, responseMargin
	if unavailable {
		// A call with a longer timeout may succeed while the store is slow and costs no more than one that is abandoned.
		wait, margin = 0, slowResponseTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, wait+margin)
	defer cancel()

	items, at, err := f.cfg.Client.Watch(ctx, after.Revision, wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.recordEra(at)
	switch known := f.replica.Position(); {
	case at.Era < after.Era || at.Era < known.Era:
		f.mu.Unlock()
		return errOutdated
	case at.Era > after.Era:
		// The changes continue another history than the replica's.
		f.mu.Unlock()
		return ErrRestored
	}
	f.recordResponse(time.Now())
	f.notifyAndUnlock(f.replica.Apply(items, at.Revision), time.Now())
	return nil
}

// releaseHeld takes over the state of a restored store where the known one was not written again.
func (f *Follower) releaseHeld() {
	now := time.Now()
	f.mu.Lock()
	f.notifyAndUnlock(f.replica.ReleaseHeld(now), now)
}
