package member

import (
	"math/rand/v2"
	"time"
)

// Table is the membership of a region as one instance sees it; it is not safe for concurrent use.
type Table struct {
	cfg Config
}

// New returns a table that knows only the instance itself.
func New(cfg Config) *Table { return &Table{cfg: cfg.withDefaults()} }

// Beat raises the own counter and returns the own entry for the next heartbeat.
func (t *Table) Beat(now time.Time) Member { return t.cfg.Self }

// SetSelf sets what the own entry says of this instance: that it is leaving, and its revision.
func (t *Table) SetSelf(now time.Time, leaving bool, revision uint64) {}

// Heard takes in one entry of a heartbeat, direct or indirect, and reports whether it was news.
func (t *Table) Heard(now time.Time, m Member) bool { return false }

// Listed takes in the platform's list.
func (t *Table) Listed(now time.Time, list []Entry) {}

// Probed takes in the result of a direct probe of an instance.
func (t *Table) Probed(now time.Time, incarnation string, ok bool) {}

// Live returns the instances that may get new work, with this one, in the order of their incarnations: alive or
// suspected, and not leaving.
func (t *Table) Live(now time.Time) []Member { return nil }

// Suspect returns the instances to probe, in the order of their incarnations.
func (t *Table) Suspect(now time.Time) []Member { return nil }

// Failed returns the instances that get no new work because they made no progress or were replaced.
func (t *Table) Failed(now time.Time) []Member { return nil }

// State returns what the table knows of an incarnation.
func (t *Table) State(now time.Time, incarnation string) State { return Unknown }

// IsListed reports whether the incarnation may still exist by the platform's list: false only when its id was listed
// and is no longer, when a newer incarnation replaced it, or when no listed id can have it.
func (t *Table) IsListed(now time.Time, incarnation string) bool { return true }

// Preferred returns the live instances in rendezvous order for the home of a pool, the most preferred first.
func (t *Table) Preferred(now time.Time, pool string) []Member { return nil }

// Delta returns at most limit entries for the next heartbeat: instances whose counter changed since it was last sent,
// those that waited longest first.
func (t *Table) Delta(now time.Time, limit int) []Member { return nil }

// Spread returns up to n random peers for the next heartbeat; one that is only listed has no incarnation.
func (t *Table) Spread(r *rand.Rand, n int) []Member { return nil }

// Dump returns the table's state for inspection.
func (t *Table) Dump(now time.Time) Dump { return Dump{} }
