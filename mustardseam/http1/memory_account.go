package http1

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultRequestMemory limits the memory for requests where ServerConfig sets none.
	defaultRequestMemory = 128 << 20
	// requestMemoryWait is how long a request that does not fit waits for others to be released.
	requestMemoryWait = 250 * time.Millisecond
	// reclaimsPerWait is how often a reservation that waits asks for the release of others.
	reclaimsPerWait = 8
	// largeRequestBytes is the size from which a request or an answer may not use the last quarter of the account. Nearly all of ordinary
	// callers are smaller, and they are served beside large ones that fill the rest.
	largeRequestBytes = 256 << 10
)

// memoryAccount limits the bytes that all requests of callers, or all answers, occupy together. Bytes are reserved before they
// are occupied.
type memoryAccount struct {
	limit   int64
	wait    time.Duration // How long a reservation that does not fit waits for others to be released.
	reclaim func(n int64) // Asks for the release of n bytes. Called with mu held.

	used    atomic.Int64
	waiting atomic.Int64 // Length of waiters.
	mu      sync.Mutex
	waiters []*memoryWaiter // Reservations that did not fit, in the order of arrival; guarded by mu.
	// reclaimedAt is when reclaim was called last. Guarded by mu.
	reclaimedAt time.Time
}

// memoryWaiter is a reservation that waits until it fits.
type memoryWaiter struct {
	bytes   int64
	large   bool
	granted chan struct{} // Closed when the bytes were reserved.
}

// newMemoryAccount returns an account of the given size in bytes.
func newMemoryAccount(limit int64, wait time.Duration, reclaim func(n int64)) *memoryAccount {
	return &memoryAccount{limit: limit, wait: wait, reclaim: reclaim}
}

// reserve reserves bytes. If they do not fit, it waits for up to the wait time or until cancel receives a value; it returns false
// if nothing was reserved. A large reservation may not use the last quarter of the account.
func (a *memoryAccount) reserve(bytes int64, large bool, cancel <-chan struct{}) bool {
	if a.tryReserve(bytes, large) {
		return true
	}
	if bytes > a.limitFor(large) {
		return false
	}
	w := &memoryWaiter{bytes: bytes, large: large, granted: make(chan struct{})}
	a.addWaiter(w)
	ticker := time.NewTicker(a.wait / reclaimsPerWait)
	defer ticker.Stop()
	for range reclaimsPerWait {
		select {
		case <-w.granted:
			return true
		case <-cancel:
			return !a.removeWaiter(w)
		case now := <-ticker.C:
			a.reclaimAgain(now)
		}
	}
	return !a.removeWaiter(w)
}

// release returns reserved bytes.
func (a *memoryAccount) release(bytes int64) {
	a.used.Add(-bytes)
	if a.waiting.Load() > 0 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.grant()
	}
}

// limitFor returns the part of the account that a reservation may use.
func (a *memoryAccount) limitFor(large bool) int64 {
	if large {
		return a.limit - a.limit/4
	}
	return a.limit
}

func (a *memoryAccount) tryReserve(bytes int64, large bool) bool {
	for limit := a.limitFor(large); ; {
		used := a.used.Load()
		if used+bytes > limit {
			return false
		}
		if a.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// addWaiter queues a reservation and asks for the bytes that are missing for all that wait.
func (a *memoryAccount) addWaiter(w *memoryWaiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters = append(a.waiters, w)
	a.waiting.Add(1)
	// Bytes may have been released before the waiter was counted.
	a.grant()
	a.reclaimMissing(time.Now())
}

// reclaimAgain asks again for the bytes that are missing, since more may be reclaimable than before. The waiters together ask at
// the interval at which one does.
func (a *memoryAccount) reclaimAgain(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.reclaimedAt) >= a.wait/reclaimsPerWait/2 {
		a.reclaimMissing(now)
	}
}

// reclaimMissing asks for the bytes that are missing for all that wait. mu must be held.
func (a *memoryAccount) reclaimMissing(now time.Time) {
	if len(a.waiters) == 0 {
		return
	}
	missing, large := int64(0), true
	for _, w := range a.waiters {
		missing += w.bytes
		large = large && w.large
	}
	a.reclaimedAt = now
	a.reclaim(missing - max(0, a.limitFor(large)-a.used.Load()))
}

// removeWaiter removes a reservation that was not granted; it returns false if it was granted.
func (a *memoryAccount) removeWaiter(w *memoryWaiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.waiting.Add(-1)
	return true
}

// grant reserves the bytes of the waiters that fit, in the order of arrival. mu must be held.
func (a *memoryAccount) grant() {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if a.tryReserve(w.bytes, w.large) {
			close(w.granted)
			continue
		}
		kept = append(kept, w)
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept
	a.waiting.Store(int64(len(kept)))
}
