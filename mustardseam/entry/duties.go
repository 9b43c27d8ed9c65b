package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/bootclock"
	"github.com/mustardseam/mustardseam/mustardseam/duty"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/store"
	"github.com/mustardseam/mustardseam/mustardseam/usage"
)

const (
	// dutyInterval is how often the duties are checked. It is a third of the time between the attempts of two candidates.
	dutyInterval = 50 * time.Millisecond
	// dutyCallTimeout bounds a call on a duty. The platform may take 60 times as long as usual.
	dutyCallTimeout = 2500 * time.Millisecond
	// dutyCallMargin is how much of the right to act must be left when a call is begun. Its connection may take that long.
	dutyCallMargin = 500 * time.Millisecond
	// dutySilence is how long the platform may leave the calls of the holder without an answer before the holder gives the
	// duties up, since another instance may reach it. It is longer than a call takes while the platform is slow.
	dutySilence = 4 * time.Second
	// dutyPause is how long an instance that could not perform the duties leaves them to others.
	dutyPause = 10 * time.Second
	// dutyReleaseTimeout bounds how long a planned stop waits for the end of the lease.
	dutyReleaseTimeout = 200 * time.Millisecond
)

// errNoDuty reports that this instance must not act on a duty.
var errNoDuty = errors.New("instance does not hold the duty")

// duties performs the duties of which one instance at a time is the holder. It is nil if there are none.
type duties struct {
	i        *Instance
	cfg      DutiesConfig
	election *duty.Election
	windows  usage.Config
	clock    *usage.Clock
	ledger   *usage.Ledger
	metrics  *dutyMetrics

	// mu guards the fields below.
	mu              sync.Mutex
	calls           int           // Calls on duties without an answer yet.
	storeCalls      int           // Calls of the election to the store without an answer yet.
	unansweredSince time.Duration // When the first of the latest calls that got no answer was sent; 0 after an answer.
	status          duty.Status   // Latest status that was logged.
	record          cachedRecord
	sync            windowSync
	backups         map[string]bool // Instances that get the counts of all instances from this one as the hub.
	backupsAt       time.Duration
	report          usageReport
}

// newDuties returns the duties of an instance, or nil if there are none.
func newDuties(i *Instance) *duties {
	cfg := i.cfg.Duties
	if !cfg.Enabled() {
		return nil
	}
	start := bootclock.Now()
	d := &duties{
		i: i, cfg: cfg, clock: usage.NewClock(time.Now(), start),
		windows: usage.Config{Window: cfg.ReportWindow, Due: cfg.ReportDue},
		election: duty.NewElection(duty.Config{
			Instance: i.cfg.Name, Run: i.runID, TTL: cfg.LeaseTTL, Start: start,
		}),
		report: usageReport{calls: map[int64]usageCall{}},
	}
	d.ledger = usage.NewLedger(i.cfg.Name, i.runID, d.window(start))
	d.metrics = newDutyMetrics(d)
	return d
}

// window returns the number of the usage window at a time of the boot clock.
func (d *duties) window(boot time.Duration) int64 { return d.windows.Number(d.clock.Now(boot)) }

// run performs the duties until the instance stops.
func (d *duties) run() {
	for d.i.ctx.Err() == nil {
		d.i.recoverPanics("duties", d.step)
		d.i.sleep(dutyInterval)
	}
}

// step makes the calls that are due.
func (d *duties) step() {
	now := bootclock.Now()
	if d.i.stopping.Load() != nil {
		d.election.Resign(now, 0, "planned stop")
	}
	o := d.observe()
	for {
		d.mu.Lock()
		finished := d.calls == 0
		d.mu.Unlock()
		a := d.election.Step(now, o, finished)
		if a.Kind == duty.NoAction {
			break
		}
		d.callStore(a)
	}
	d.logStatus(now)
	d.updateBackups(now)
	if d.cfg.Has(UsageReportDuty) {
		d.ledger.Advance(d.window(now))
		d.stepUsage(now)
	}
	d.resignIfSilent(now)
}

// resignIfSilent gives the duties up if the platform does not answer this instance.
func (d *duties) resignIfSilent(now time.Duration) {
	d.mu.Lock()
	silent := d.status.Held && d.unansweredSince > 0 && now-max(d.unansweredSince, d.status.Since) > dutySilence
	if silent {
		d.unansweredSince = 0
	}
	d.mu.Unlock()
	if silent && len(d.i.scheduler.runningInstances()) > 1 {
		d.election.Resign(now, dutyPause, "platform does not answer calls on duties")
	}
}

// logStatus logs that this instance acquired or gave up the duties.
func (d *duties) logStatus(now time.Duration) {
	s := d.election.Status()
	d.mu.Lock()
	old := d.status
	d.status = s
	if s.Token != old.Token {
		d.unansweredSince = 0
	}
	d.mu.Unlock()
	switch {
	case s.Held && s.Token != old.Token:
		d.metrics.acquired.Inc()
		event.DutyAcquired.Log(d.i.log()).Int64("token", s.Token).Send()
	case old.Held && !s.Held:
		event.DutyLost.Log(d.i.log()).Int64("token", old.Token).Int64("held-ms", (now-old.Since).Milliseconds()).
			Str("reason", s.Reason).Send()
	}
}

// call makes a call on a duty if this instance may act on it, and records the outcome. It returns errNoDuty if not.
func (d *duties) call(name string, send func(ctx context.Context, right duty.Right) error) error {
	d.mu.Lock()
	sent := bootclock.Now()
	right, ok := d.election.Right(sent + dutyCallMargin)
	if !ok || !d.cfg.Has(name) {
		d.mu.Unlock()
		return errNoDuty
	}
	d.calls++
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.i.ctx, dutyCallTimeout)
	defer cancel()
	err := send(ctx, right)
	now := bootclock.Now()
	result := "accepted"
	answered := true
	switch {
	case err == nil:
	case errors.Is(err, ErrFenced):
		result = "refused"
		d.election.Refused(now, right.Token)
	case errors.Is(err, ErrRateLimited):
		result = "rate-limited"
	default:
		result, answered = "failed", false
	}
	d.metrics.countCall(name, result)
	if err != nil {
		event.DutyCallFailed.Log(d.i.log()).Str("duty", name).Int64("token", right.Token).Str("result", result).Err(err).Send()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls--
	switch {
	case answered:
		d.unansweredSince = 0
	case d.unansweredSince == 0:
		d.unansweredSince = sent
	}
	return err
}

// stop gives the duties up at the end of a planned stop.
func (d *duties) stop() {
	if d == nil {
		return
	}
	d.election.Resign(bootclock.Now(), 0, "planned stop")
	for end := time.Now().Add(dutyReleaseTimeout); time.Now().Before(end); time.Sleep(lastAnswerPollInterval) {
		d.mu.Lock()
		idle := d.storeCalls == 0 && !d.status.Held
		d.mu.Unlock()
		if idle {
			return
		}
	}
}

// dutyRight returns the permission of this instance to act on a duty; ok is false while it must not act. Calls on duties are
// made by callDuty, which checks the right again.
func (i *Instance) dutyRight(_ time.Time, name string) (right duty.Right, ok bool) {
	if i.duties == nil || !i.cfg.Duties.Has(name) {
		return duty.Right{}, false
	}
	return i.duties.election.Right(bootclock.Now())
}

// callDuty makes a call on a duty while this instance may act on it. After a refusal for a higher token the right ends. It
// returns errNoDuty without a call if this instance must not act.
func (i *Instance) callDuty(name string, send func(ctx context.Context, right duty.Right) error) error {
	if i.duties == nil {
		return errNoDuty
	}
	return i.duties.call(name, send)
}

// cachedRecord is the decoded record of sealed windows in the copy of the store.
type cachedRecord struct {
	at     store.Position
	record usage.Record
}
