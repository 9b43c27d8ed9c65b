// Command mustardctl submits, compares and reads the configuration of mustardseam, drains and restores data centres
// and backend servers, and shows rollouts, events and the state of instances.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], stdio{in: os.Stdin, out: os.Stdout, err: os.Stderr}, connect)
	stop()
	os.Exit(code)
}
