package cluster

import (
	"os"
	"os/signal"
	"syscall"
)

// WaitForInterrupt blocks until the process receives SIGINT or SIGTERM.
func WaitForInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}
