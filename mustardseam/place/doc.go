// Package place decides which backend server a request goes to, and which of the waiting requests goes first.
//
// A Board keeps an account of each backend server: what this instance has sent there, what the other instances say they
// have, and how fast and reliable it has been. It predicts from these the time to the first event of a request. A Queue
// holds the requests that no backend server has room for; they wait here, where their order can still change, and not in
// the first-come queue of a backend server. The package starts no goroutine and reads no clock; the caller serializes
// calls.
package place
