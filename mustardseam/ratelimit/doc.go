// Package ratelimit enforces limits on the sum over all instances. Each instance has a standing share of a limit that it may
// use without asking any other instance, whatever has happened to them. While instances receive each other's reports,
// they use what is actually left of the limit.
//
// The package starts no goroutines and reads no clock. Its types are not safe for concurrent use.
package ratelimit
