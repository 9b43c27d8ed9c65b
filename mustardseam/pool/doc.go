// Package pool makes the scheduling decisions of a pool's home instance: which request is served next, by which backend
// server and version, and which request is shed. It uses no sockets or goroutines, and callers pass in the time.
// An entry instance submits an Ask, which is answered by a Permit or a Refusal; the Outcome reports how a granted
// request ended.
package pool
