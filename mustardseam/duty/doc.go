// Package duty elects the instance that may act on duties of which only one holder at a time may act.
//
// The holder is recorded in the platform's store under a key that is attached to a store lease. The revision of the write
// that acquired the record and the era of the store form a fencing token, so that a later holder always has a higher token.
// The package holds the rules only; package entry makes the calls and passes the time in.
package duty
