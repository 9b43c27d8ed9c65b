package main

import (
	"fmt"
	"runtime/debug"

	"github.com/mustardseam/mustardseam/mustardseam/peer"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version of the build and the versions of the protocol between instances.
func (versionCommand) Run() error {
	build := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.Main.Version
	}
	fmt.Printf("mustardseam %s, protocol between instances %d to %d\n", build, peer.MinVersion, peer.MaxVersion)
	return nil
}
