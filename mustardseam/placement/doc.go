// Package placement selects a backend server for each request and orders the requests that wait for one.
//
// A Board keeps the state of each backend server: the load that this instance has sent, the load that other instances
// report, and the observed speed and failure rate. From these it predicts the time to the first event of a request. A
// Queue holds the requests that no backend server has room for. They wait here, where they can still be reordered, and
// not in the first-come, first-served queue of a backend server.
//
// The package starts no goroutines and reads no clock. Its types are not safe for concurrent use.
package placement
