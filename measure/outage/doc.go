// Package outage runs the instances of a region over a store that fails: home records, claims of keyed requests, the
// configuration and rollback marks, by the state machines of packages tenure, claim, pool, revision and rollout.
package outage
