package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// unlistTime is how long after the signal to stop callers may still be sent here: two checks, a second apart, and their
	// way.
	unlistTime = 2500 * time.Millisecond
	// refuseBefore is how long before the end of the grace period new requests are refused as not run, since their answers
	// could not be finished.
	refuseBefore = 2500 * time.Millisecond
	// streamTime is how long after the signal streams are still taken: callers that follow the balancer have left by then, and
	// a stream of unknown length may not end within the rest of the grace period.
	streamTime = unlistTime + 500*time.Millisecond
	// exitBefore is kept from the grace period for the end of the process: open exchanges with other instances and the last log
	// lines may take 300 ms.
	exitBefore = 500 * time.Millisecond
	// stopPoll is how often a stop looks whether all callers have left.
	stopPoll = 50 * time.Millisecond
	// closeLog bounds the writing of the last log lines.
	closeLog = 100 * time.Millisecond
)

// Stop ends the instance within the grace period: it asks to get no more callers, answers those that come all the same,
// and ends when all have left.
func (i *Instance) Stop() {
	start := time.Now()
	i.stopping.Store(&start)
	event.Draining.On(i.log()).Int64("active", i.active.Load()).Send()
	i.server.Drain()
	grace := i.bounds.Load().Grace
	i.sleep(min(unlistTime, grace/2))
	event.StopStep.On(i.log()).Str("step", "close idle connections").Int64("active", i.active.Load()).Send()
	i.server.CloseIdle()
	end := start.Add(grace - min(exitBefore, grace/4))
	for time.Now().Before(end) && (i.server.Open() > 0 || i.active.Load() > 0) {
		i.sleep(stopPoll)
	}
	if n := i.active.Load(); n > 0 {
		event.GraceOver.On(i.log()).Int64("active", n).Send()
	}
	i.server.Close()
	i.cancel()
	i.follower.Stop()
	if err := i.peers.Close(); err != nil {
		event.ListenFailed.On(i.log()).Err(err).Send()
	}
	event.Stopped.On(i.log()).Send()
	i.cfg.Log.Close(closeLog)
}

// tooLate reports whether a request of a kind that arrives now could not be finished before the end of the process.
func (i *Instance) tooLate(kind fleet.Kind) bool {
	start := i.stopping.Load()
	return start != nil && time.Since(*start) > takenFor(kind, i.bounds.Load().Grace)
}

// takenFor returns how long after the signal to stop requests of a kind are taken.
func takenFor(kind fleet.Kind, grace time.Duration) time.Duration {
	if kind == fleet.Stream {
		return min(streamTime, grace/2)
	}
	return grace - min(refuseBefore, grace/3)
}

// Active returns the number of requests that are being answered.
func (i *Instance) Active() int { return int(i.active.Load()) }
