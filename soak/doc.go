// Package soak contains a randomized soak test. It runs instances as separate processes with fakes of the store, the backend
// servers and the callers, injects faults through signals and loopback proxies, and checks what callers and backend servers
// observe. To run it by hand:
//
//	go test ./soak -count=1 -soak.seed 7 -soak.seeds 50 -soak.for 10s -v
package soak
