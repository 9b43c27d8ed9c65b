package pool

import "time"

// Orphan leaves the running requests of a dead entry instance to the load reports.
func (p *Pool) Orphan(_ time.Time, _ string) {}

// Dump returns the state for inspection.
func (p *Pool) Dump() any { return nil }
