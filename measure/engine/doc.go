// Package engine models a backend server in virtual time, with continuous batching, a prefix cache, cold start, delayed
// reports and faults.
package engine
