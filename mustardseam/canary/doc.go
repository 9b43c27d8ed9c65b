// Package canary moves the traffic of a service to another version on an operator's order. A small share of the requests
// goes to the new version first and its responses are tested route by route; then it gets all requests, and the rollout is
// complete once no request runs on the old version. A bad version is rolled back at once. The package starts no goroutine
// and reads no clock; the caller writes the progress by compare-and-swap, so that another instance can continue from it.
//
// The package handles the rollouts of services. Those of routes are in package rollout, whose Analyzer tests the versions
// here too.
package canary
