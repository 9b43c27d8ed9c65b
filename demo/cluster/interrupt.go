package cluster

import (
	"os"
	"os/signal"
	"syscall"
)

// WaitForInterrupt returns when the process is told to end.
func WaitForInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}
