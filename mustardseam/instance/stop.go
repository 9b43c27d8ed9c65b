package instance

import (
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/event"
)

const (
	// drainPoll is the interval at which a stopping instance checks for requests that are still running.
	drainPoll = 20 * time.Millisecond
	// serverGrace is the time given to the caller server to send responses that are already complete.
	serverGrace = time.Second
)

// Stop drains the instance: it leaves the ready state, releases its pools to other instances, refuses waiting requests
// as not run, and waits for running answers. It reports whether all of them ended within the grace period.
func (i *Instance) Stop(grace time.Duration) bool {
	i.draining.Store(true)
	event.InstanceDraining.Log(&i.log).Send()
	end := i.cfg.Now().Add(grace)
	var handover conc.WaitGroup
	for _, h := range *i.homes.Load() {
		h.stop()
		handover.Go(func() { h.releaseTenure(end) })
	}
	handover.Wait()
	for i.running.Load() > 0 && i.cfg.Now().Before(end) {
		time.Sleep(drainPoll)
	}
	clean := i.running.Load() == 0
	if !clean {
		event.GracePeriodOver.Log(&i.log).Send()
	}
	_ = i.callerServer.Close(serverGrace)
	i.close()
	event.InstanceStopped.Log(&i.log).Send()
	return clean
}

// Kill stops the instance at once without draining, as a crash would.
func (i *Instance) Kill() {
	i.draining.Store(true)
	i.close()
}

// close closes all connections and waits for all goroutines.
func (i *Instance) close() {
	i.cancel()
	for _, ln := range i.listeners {
		ln.Abort()
	}
	i.engines.Close()
	i.services.Close()
	i.store.Close()
	_ = i.callerServer.Close(time.Millisecond)
	_ = i.peerServer.Close(time.Millisecond)
	_ = i.adminServer.Close(time.Millisecond)
	i.wg.Wait()
}
