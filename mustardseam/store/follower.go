package store

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// LongPollWait is the longest time for which the store holds a long poll. A dead connection is detected only after this
	// time, and a configuration must be in force within two seconds of its acknowledgement.
	LongPollWait = 1500 * time.Millisecond
	// responseMargin is added to the wait of a long poll before the call counts as failed.
	responseMargin = 500 * time.Millisecond
	// slowResponseTimeout bounds calls while the store is slow: it may take 60 times as long as usual to respond.
	slowResponseTimeout = 2 * time.Second
	// pageTimeout bounds one page of a list. A list that was started while the store did not respond may hang for this long
	// after the store has recovered, and the instance has no configuration until then. Alternate attempts get
	// slowResponseTimeout instead, so that a list from a slow store succeeds too.
	pageTimeout = time.Second
	// listTimeout bounds a list, which takes several pages.
	listTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the mean time between the starts of calls while the store fails; refused calls cost
	// as much as others.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// minPollInterval is the least time from the start of a successful call to the next one. Changes come in series, and
	// each call has a cost.
	minPollInterval = 200 * time.Millisecond
	// relayCheckInterval is how often an instance that gets relayed changes checks whether it still does.
	relayCheckInterval = 100 * time.Millisecond
)

// FollowerConfig holds the client and the callbacks of a Follower.
type FollowerConfig struct {
	Client Client
	ReplicaConfig
	// IsRelayed reports whether another instance relays changes in time, so that this one need not poll the store.
	IsRelayed func() bool
	// OnChange is called with new changes in order, while the follower is locked; mayReturn reports that deletions may come
	// from leases that expired during an outage, so that the items may be written again.
	OnChange func(items []Item, mayReturn bool)
	// OnAvailable is called when the store responds again after a failure, to this instance or to one that relays its changes;
	// OnUnavailable when a call fails for the first time.
	OnAvailable   func()
	OnUnavailable func(err error)
	// OnListed is called after a list of the store with its position and the number of items.
	OnListed func(at Position, items int)
	// OnEraChanged is called when an answer has another era than the one before; replica is the position of the replica.
	OnEraChanged func(replica, answer Position)
}

// Follower maintains a replica of the store; its methods are safe for concurrent use.
type Follower struct {
	cfg    FollowerConfig
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu                 sync.Mutex
	replica            *Replica  // Guarded by mu.
	lastResponse       time.Time // Time of the store's latest response, direct or relayed; guarded by mu.
	lastDirectResponse time.Time // Time of the store's latest response to this instance; guarded by mu.
	// unavailable is true if a call of this instance failed and the store has answered no instance since; guarded by mu.
	unavailable bool
	failedAt    time.Time // Start of the latest failed call; guarded by mu.
	lapsesUntil time.Time // Until then, deletions may come from leases that expired during an outage; guarded by mu.
	era         int64     // Era of the latest answer of the store; guarded by mu.
}

const (
	// lapseWindow is how long after the start of a failed call deletions may come from leases that expired during an outage.
	// It is shorter than the time after which the store counts as stable again.
	lapseWindow = 2900 * time.Millisecond
	// restorationWindow is how long after a restoration of the store deletions may come from leases that it has lost.
	restorationWindow = 2500 * time.Millisecond
)

// NewFollower returns a follower that updates its replica until Stop is called.
func NewFollower(cfg FollowerConfig) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, ctx: ctx, cancel: cancel, done: make(chan struct{}), replica: NewReplica(cfg.ReplicaConfig)}
	go f.run()
	return f
}

// Stop makes the follower end; a call in progress may last until its timeout.
func (f *Follower) Stop() { f.cancel() }

// Done returns a channel that is closed when the follower has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// SinceResponse returns the time since the store's latest response, direct or relayed, and false before the first one.
func (f *Follower) SinceResponse(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastResponse), !f.lastResponse.IsZero()
}

// SinceDirectResponse returns the time since the store's latest response to this instance, and false before the first one.
func (f *Follower) SinceDirectResponse(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastDirectResponse), !f.lastDirectResponse.IsZero()
}

// Position returns the position up to which the replica is complete.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Position()
}

// Held returns the number of keys whose state in the store is older than the known one, since it was restored from a copy.
func (f *Follower) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Held()
}

// Item returns the item of a key, which is zero if the key does not exist, the position that a Put must expect, and whether
// the store has the item in this state.
func (f *Follower) Item(key string) (i Item, expect Position, saved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, saved = f.replica.Item(key)
	return i, Position{Era: f.replica.Position().Era, Revision: i.Revision}, saved
}

// Put writes a key if it is at the expected position, with revision 0 for a key that does not exist, and applies it to the
// replica. It returns ErrConflict, without or after a write, if the store was restored meanwhile: the revision that was
// expected may then be that of another state.
func (f *Follower) Put(ctx context.Context, key string, value []byte, expect Position) error {
	if f.Position().Era != expect.Era {
		return eris.Wrapf(ErrConflict, "write %s: %v", key, ErrRestored)
	}
	at, err := f.cfg.Client.Put(ctx, key, value, expect.Revision)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.recordEra(at)
	if at.Era != expect.Era || at.Era != f.replica.Position().Era {
		f.mu.Unlock()
		return eris.Wrapf(ErrConflict, "write %s: %v", key, ErrRestored)
	}
	// The replica keeps its revision, since earlier changes may not have arrived yet.
	changed := f.replica.Apply([]Item{{Key: key, Value: value, Revision: at.Revision}}, f.replica.Position().Revision)
	f.notifyAndUnlock(changed, time.Now())
	return nil
}

// notifyAndUnlock passes changes to the OnChange callback and unlocks mu, which the caller must hold.
func (f *Follower) notifyAndUnlock(changed []Item, now time.Time) {
	mayReturn := f.unavailable || now.Before(f.lapsesUntil)
	defer f.mu.Unlock()
	if len(changed) > 0 {
		f.cfg.OnChange(changed, mayReturn)
	}
}

// recordRestoration records that the replica was taken over from a restored store, which leases may still return to; the
// caller must hold mu.
func (f *Follower) recordRestoration(restored bool, now time.Time) {
	if restored {
		f.extendLapses(now.Add(restorationWindow))
	}
}

// extendLapses makes deletions count as possible lapses until a time; the caller must hold mu.
func (f *Follower) extendLapses(until time.Time) {
	if until.After(f.lapsesUntil) {
		f.lapsesUntil = until
	}
}

// recordEra records the era of the store's answer; the caller must hold mu.
func (f *Follower) recordEra(at Position) {
	if f.era != 0 && f.era < at.Era {
		f.cfg.OnEraChanged(Position{Era: f.era, Revision: f.replica.Position().Revision}, at)
	}
	f.era = max(f.era, at.Era)
}

// recordResponse records a response of the store to this instance; the caller must hold mu.
func (f *Follower) recordResponse(at time.Time) {
	if at.After(f.lastResponse) {
		f.lastResponse = at
	}
	f.lastDirectResponse = at
}

// markAvailable records that the store has answered this instance or another one.
func (f *Follower) markAvailable() {
	f.mu.Lock()
	wasUnavailable := f.unavailable
	f.unavailable = false
	f.mu.Unlock()
	if wasUnavailable {
		f.cfg.OnAvailable()
	}
}

// markUnavailable records that a call failed that began at the given time, unless the store has answered another instance since.
func (f *Follower) markUnavailable(began time.Time, err error) {
	f.mu.Lock()
	if f.lastResponse.After(began) {
		f.mu.Unlock()
		return
	}
	wasUnavailable := f.unavailable
	f.unavailable, f.failedAt = true, began
	f.extendLapses(began.Add(lapseWindow))
	f.mu.Unlock()
	if !wasUnavailable {
		f.cfg.OnUnavailable(err)
	}
}

func (f *Follower) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-f.ctx.Done():
	}
}
