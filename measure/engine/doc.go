// Package engine models a backend server in virtual time: continuous batching, a prefix cache, cold start, lagging
// reports and faults.
package engine
