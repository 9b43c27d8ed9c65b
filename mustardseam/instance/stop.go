package instance

import (
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/event"
)

const (
	// drainPoll is the interval at which a stopping instance looks whether answers are still running.
	drainPoll = 20 * time.Millisecond
	// serverGrace lets responses that have ended reach their callers.
	serverGrace = time.Second
)

// Stop drains the instance: it leaves the ready state, hands its pools over, hands waiting requests back as not run,
// lets running answers end within the grace period, and reports whether all did.
func (i *Instance) Stop(grace time.Duration) bool {
	i.draining.Store(true)
	event.InstanceDraining.Log(&i.log).Send()
	end := i.cfg.Now().Add(grace)
	var handover conc.WaitGroup
	for _, h := range *i.homes.Load() {
		h.stop()
		handover.Go(func() { h.release(end) })
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

// Kill ends the instance at once, as a crash does.
func (i *Instance) Kill() {
	i.draining.Store(true)
	i.close()
}

// close ends all goroutines and connections.
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
