// Package conduct moves the traffic of a service to another version by an order of the operators: a small share first,
// judged by its answers route by route, then all, and a report that it is complete once nothing runs on the old version.
// A bad version is taken back at once. The package starts no goroutine and reads no clock; whoever calls it writes the
// progress under a condition, so that the next caller goes on where the last one stopped.
package conduct
