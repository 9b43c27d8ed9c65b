// Package hub exchanges load, usage and store changes between instances. Each instance reports to one other instance,
// the hub, and receives the totals over all instances. Every instance computes the same order of hub candidates from the
// list of instances and moves on to the next candidate when a hub does not respond. No instance depends on a hub: one
// without a hub uses its standing shares and the data that it measured itself.
package hub
