// Package bootclock reads a monotonic clock that also counts the time in which the machine was suspended.
package bootclock
