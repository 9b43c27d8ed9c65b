// Package share keeps bounds that hold for the sum over all instances. Each instance has a standing share of a bound that
// it may use without asking anyone, whatever has happened to the others; where instances hear from each other, they use
// what is really left. The package starts no goroutine and reads no clock; the caller serializes calls.
package share
