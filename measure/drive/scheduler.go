package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// Scheduler makes the decisions of a pool's home. *pool.Pool and the baselines implement it.
type Scheduler interface {
	Configure(now time.Time, cfg pool.Config)
	Ask(now time.Time, a pool.Ask)
	Withdraw(now time.Time, id string) bool
	Done(now time.Time, o pool.Outcome)
	Report(now time.Time, r pool.Report)
	ObserveCacheEvents(now time.Time, events []pool.CacheEvent)
	Decide(now time.Time) pool.Decisions
}

// SchedulerFactory creates a scheduler with the given configuration.
type SchedulerFactory func(cfg pool.Config) Scheduler

// entryFailureObserver is implemented by schedulers that handle the failure of an entry instance.
type entryFailureObserver interface {
	Orphan(now time.Time, from string)
}
