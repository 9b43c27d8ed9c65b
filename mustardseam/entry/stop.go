package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// unlistDelay is how long after the stop signal callers may still be sent to this instance: two readiness checks, 1 s
	// apart, and the time until they take effect.
	unlistDelay = 2500 * time.Millisecond
	// refuseMargin is how long before the end of the grace period new requests are refused as not run, since their answers
	// could not be completed.
	refuseMargin = 2500 * time.Millisecond
	// streamAcceptTime is how long after the stop signal streams are accepted. By then, callers that follow the load balancer
	// have left, and a stream of unknown length may not end within the rest of the grace period.
	streamAcceptTime = unlistDelay + 500*time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the end of the process: open exchanges with other
	// instances and the last log lines may take 300 ms.
	exitMargin = 500 * time.Millisecond
	// stopPollInterval is how often Stop checks whether all callers have left.
	stopPollInterval = 50 * time.Millisecond
	// logCloseTimeout bounds the writing of the last log lines.
	logCloseTimeout = 100 * time.Millisecond
)

// Stop ends the instance within the grace period. It stops being listed as ready, answers the requests that still arrive,
// and returns when all callers have left.
func (i *Instance) Stop() {
	start := time.Now()
	i.stopping.Store(&start)
	event.InstanceDraining.Log(i.log()).Int64("active", i.active.Load()).Send()
	i.server.Drain()
	grace := i.bounds.Load().GracePeriod
	i.sleep(min(unlistDelay, grace/2))
	event.ShutdownProgress.Log(i.log()).Str("step", "close idle connections").Int64("active", i.active.Load()).Send()
	i.server.CloseIdle()
	end := start.Add(grace - min(exitMargin, grace/4))
	for time.Now().Before(end) && (i.server.OpenConns() > 0 || i.active.Load() > 0) {
		i.sleep(stopPollInterval)
	}
	if n := i.active.Load(); n > 0 {
		event.GracePeriodOver.Log(i.log()).Int64("active", n).Send()
	}
	i.server.Close()
	i.cancel()
	i.follower.Stop()
	if err := i.peers.Close(); err != nil {
		event.ListenerFailed.Log(i.log()).Err(err).Send()
	}
	event.InstanceStopped.Log(i.log()).Send()
	i.cfg.LogWriter.Close(logCloseTimeout)
}

// tooLateToFinish reports whether a request of a kind that arrives now could not be completed before the process ends.
func (i *Instance) tooLateToFinish(kind fleet.Kind) bool {
	start := i.stopping.Load()
	return start != nil && time.Since(*start) > acceptedFor(kind, i.bounds.Load().GracePeriod)
}

// acceptedFor returns how long after the stop signal requests of a kind are accepted.
func acceptedFor(kind fleet.Kind, grace time.Duration) time.Duration {
	if kind == fleet.Stream {
		return min(streamAcceptTime, grace/2)
	}
	return grace - min(refuseMargin, grace/3)
}

// Active returns the number of requests that are being processed.
func (i *Instance) Active() int { return int(i.active.Load()) }
