// Package ratelimit enforces the quotas of teams, the retry budgets of services, the limits of cold backend servers and the
// request limits that backend servers name.
// Each limit applies to the sum over all instances. An instance has a local share of a limit that it may use without
// asking any other instance, whatever has happened to them. While instances receive each other's reports, they use what
// is actually left of the limit.
//
// The package starts no goroutines and reads no clock. Its types are not safe for concurrent use.
package ratelimit
