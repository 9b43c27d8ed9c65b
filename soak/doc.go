// Package soak holds a randomized soak test: it runs instances as separate processes between stand-ins for the store, the
// backend servers and the callers, injects faults from outside them by signals and a loopback proxy, and checks what
// callers and backend servers see. A run by hand:
//
//	go test ./soak -count=1 -soak.seed 7 -soak.seeds 50 -soak.for 10s -v
package soak
