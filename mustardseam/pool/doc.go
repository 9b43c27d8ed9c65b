// Package pool makes the decisions of a pool's home instance: which request is served next, by which backend server
// and version, and which request is shed. It has no sockets and no goroutines, and the time is passed in.
package pool
