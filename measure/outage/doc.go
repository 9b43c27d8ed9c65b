// Package outage simulates the instances of a region during an outage of their store. It covers home records, claims of
// keyed requests, the configuration and rollback marks, and drives the state machines of packages tenure, claim, pool,
// revision and rollout.
package outage
