package entry

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

const (
	// stopPollInterval is how often Stop checks the requests that have not ended.
	stopPollInterval = 50 * time.Millisecond
	// lastAnswerPollInterval is how often Stop checks whether the final answers have been sent.
	lastAnswerPollInterval = 5 * time.Millisecond
	// lastConnTimeout bounds the wait for callers that sent a request just before the instance stopped accepting connections.
	lastConnTimeout = 50 * time.Millisecond
	// logCloseTimeout bounds the writing of the last log lines.
	logCloseTimeout = 100 * time.Millisecond
)

// Stop ends the instance within the grace period. It stops being listed as ready, answers the requests that still arrive,
// and returns when all callers have left.
func (i *Instance) Stop() {
	p := newStopPlan(time.Now(), i.bounds.Load().GracePeriod)
	i.stopping.Store(p)
	event.InstanceDraining.Log(i.log()).Int64("active", i.active.Load()).Send()
	i.server.Drain()
	idleClosed := false
	for now := time.Now(); now.Before(p.finishBy) && i.ctx.Err() == nil; now = time.Now() {
		if !idleClosed && !now.Before(p.closeIdle) {
			event.ShutdownProgress.Log(i.log()).Str("step", "close idle connections").Int64("active", i.active.Load()).Send()
			i.server.CloseIdle()
			idleClosed = true
		}
		if idleClosed && i.server.OpenConns() == 0 && i.refuseFurther(p) {
			break
		}
		i.withdrawLate(p, now)
		i.sleep(stopPollInterval)
	}
	i.endPending(p)
	i.duties.stop()
	i.reporter.reportEnd()
	i.server.Close()
	select {
	case <-i.server.Done():
	case <-time.After(lastConnTimeout):
	}
	i.cancel()
	i.follower.Stop()
	if err := i.peers.Close(); err != nil {
		event.ListenerFailed.Log(i.log()).Err(err).Send()
	}
	event.InstanceStopped.Log(i.log()).Send()
	i.cfg.LogWriter.Close(logCloseTimeout)
}

// refuseFurther makes the instance refuse all requests that arrive from now on, because the process ends early. It returns false
// and changes nothing if a request is being processed.
func (i *Instance) refuseFurther(p *stopPlan) bool {
	i.stopping.Store(p.withFinishBy(time.Now()))
	// A request is counted before it reads the schedule.
	if i.active.Load() == 0 {
		return true
	}
	i.stopping.Store(p)
	return false
}

// withdrawLate refuses the requests that wait for a backend server and could no longer end before the instance does.
func (i *Instance) withdrawLate(p *stopPlan, now time.Time) {
	routes := map[string]routeSummary{}
	for _, r := range i.pending.all() {
		d, ok := routes[r.route]
		if !ok {
			d = i.routeSummary(now, r.route)
			routes[r.route] = d
		}
		if p.accept(now, r.stopRequest, d, d.run) == refusedByStop {
			r.withdraw()
		}
	}
}

// routeSummary describes the durations of a route, including those of requests that have not ended.
func (i *Instance) routeSummary(now time.Time, route string) routeSummary {
	return i.durations.summary(route).withRunning(i.pending.longestRun(now, route))
}

// endPending gives the requests that have not ended their final answer and waits until it is sent.
func (i *Instance) endPending(p *stopPlan) {
	if n := i.active.Load(); n > 0 {
		event.GracePeriodOver.Log(i.log()).Int64("active", n).Send()
	}
	for i.active.Load() > 0 && time.Now().Before(p.end) {
		for _, r := range i.pending.all() {
			r.withdraw()
			r.cancel(errStopping)
		}
		i.sleep(lastAnswerPollInterval)
	}
}

// refuseStopping returns the refusal of a request that has arrived and could not end before a planned stop does, or nil.
func (i *Instance) refuseStopping(req *request) *placement.Refusal {
	p := i.stopping.Load()
	if p == nil {
		return nil
	}
	now := time.Now()
	d := i.routeSummary(now, req.route.Name)
	req.stopAge = now.Sub(p.start)
	req.accepted = p.accept(now, req.stopRequest(), d, d.total)
	if req.accepted != refusedByStop {
		return nil
	}
	i.metrics.refusedStopping.Inc()
	return &placement.Refusal{Reason: fmt.Sprintf("%v: %d ms left, %d ms needed at most, %d ms usual, %d ms longest, %d ms running", errStopping,
		p.finishBy.Sub(now).Milliseconds(), req.job.Deadline.Sub(now).Milliseconds(), d.total.median.Milliseconds(),
		d.total.longest.Milliseconds(), d.running.Milliseconds())}
}

// beginSend records that a request is about to be sent to a backend server. It returns false if the request must not be
// sent, because it could not end before a planned stop does.
func (i *Instance) beginSend(req *request) bool {
	now := time.Now()
	if !req.pending.beginSend(now) {
		return false
	}
	p := i.stopping.Load()
	if p == nil {
		return true
	}
	d := i.routeSummary(now, req.route.Name)
	return p.accept(now, req.pending.stopRequest, d, d.run) != refusedByStop
}

// Active returns the number of requests that are being processed.
func (i *Instance) Active() int { return int(i.active.Load()) }
