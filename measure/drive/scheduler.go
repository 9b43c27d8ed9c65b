package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// Scheduler makes the decisions of a pool's home; *pool.Pool and the baselines are schedulers.
type Scheduler interface {
	Configure(now time.Time, cfg pool.Config)
	Ask(now time.Time, a pool.Ask)
	Withdraw(now time.Time, id string) bool
	Done(now time.Time, o pool.Outcome)
	Report(now time.Time, r pool.Report)
	ObserveCacheEvents(now time.Time, events []pool.CacheEvent)
	Decide(now time.Time) pool.Decisions
}

// Maker returns a scheduler for a configuration.
type Maker func(cfg pool.Config) Scheduler

// orphaner is a scheduler that is told of the failure of an entry instance.
type orphaner interface {
	Orphan(now time.Time, from string)
}
