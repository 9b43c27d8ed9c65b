package entry

import (
	"context"
	"maps"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/bootclock"
	"github.com/mustardseam/mustardseam/mustardseam/duty"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/store"
	"github.com/mustardseam/mustardseam/mustardseam/usage"
)

const (
	// sealTimeout bounds a write of sealed windows.
	sealTimeout = time.Second
	// sealRetryDelay is the time from a failed write of sealed windows to the next one.
	sealRetryDelay = 300 * time.Millisecond
	// usageRetryDelay is the time from a report that was not accepted to the next call for its window.
	usageRetryDelay = 500 * time.Millisecond
)

// usageReport is the progress of the reports of usage windows.
type usageReport struct {
	sealed    usage.Record // All sealed windows that this instance knows of.
	writing   bool         // A write of sealed windows has no answer yet.
	nextWrite time.Duration
	calls     map[int64]usageCall // Calls for windows that are not accepted.
	lastSent  int64               // Latest window that this instance reported and the platform accepted.
	lastAt    time.Time           // When it was accepted.
}

// usageCall is the state of the calls for a window.
type usageCall struct {
	open bool          // A call has no answer yet.
	next time.Duration // Earliest time of the next call.
}

// countRequest counts a request of which a backend server has sent the first event or the answer.
func (d *duties) countRequest(req *request) {
	if d == nil || req.counted || req.team == nil {
		return
	}
	req.counted = true
	d.ledger.Add(req.team.Name, d.window(bootclock.Now()))
}

// storedRecord returns the sealed windows in the copy of the store, and whether the store has them in this state.
func (d *duties) storedRecord() (record usage.Record, expect store.Position, saved bool) {
	item, expect, saved := d.i.follower.Item(d.i.cfg.StoreCodec.UsageKey())
	if item.Key == "" {
		return usage.Record{}, expect, false
	}
	at := store.Position{Era: item.Era, Revision: item.Revision}
	if at != d.record.at || item.Revision == 0 {
		r, err := usage.DecodeRecord(item.Value)
		if err != nil {
			event.StoreItemInvalid.Log(d.i.log()).Str("key", item.Key).Int64("revision", item.Revision).Err(err).Send()
			r = usage.Record{}
		}
		d.record = cachedRecord{at: at, record: r}
	}
	return d.record.record, expect, saved
}

// stepUsage seals and reports windows if this instance may.
func (d *duties) stepUsage(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored, expect, saved := d.storedRecord()
	if !stored.IsSubset(d.report.sealed) {
		d.report.sealed = d.report.sealed.With(stored.Windows...)
	}
	if _, ok := d.election.Right(now); !ok {
		return
	}
	active := d.i.scheduler.runningInstances()
	trueTime := d.clock.Now(now)
	held := now - d.status.Since
	if len(active) > 0 && d.status.Held && held > d.windows.Due/2 && d.windows.IsIsolated(trueTime, d.ledger, d.report.sealed, active) {
		d.election.Resign(now, dutyPause, "counts of most instances are missing")
		return
	}
	due := d.windows.Seal(trueTime, d.ledger, d.report.sealed, active)
	if (len(due) > 0 || !stored.Covers(d.report.sealed) || !saved && len(stored.Windows) > 0) && !d.report.writing && now >= d.report.nextWrite {
		d.writeSealed(due, expect)
	}
	if saved {
		d.sendReports(now, stored)
	}
}

// writeSealed writes the known sealed windows and those that are due to the store; mu must be held.
func (d *duties) writeSealed(due []usage.Due, expect store.Position) {
	record := d.report.sealed
	for _, w := range due {
		record = record.With(w.Sealed)
	}
	record, value, err := record.Encode(d.cfg.MaxValueBytes)
	if err != nil {
		event.StoreWriteFailed.Log(d.i.log()).Err(err).Send()
		return
	}
	d.report.writing = true
	d.i.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(d.i.ctx, sealTimeout)
		defer cancel()
		err := d.i.follower.Put(ctx, d.i.cfg.StoreCodec.UsageKey(), value, expect)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.report.writing = false
		if err != nil {
			d.report.nextWrite = bootclock.Now() + sealRetryDelay
			event.StoreWriteFailed.Log(d.i.log()).Str("key", d.i.cfg.StoreCodec.UsageKey()).Err(err).Send()
			return
		}
		for _, w := range due {
			d.metrics.sealed.Inc()
			s, _ := record.Find(w.Window)
			event.UsageSealed.Log(d.i.log()).Int64("window", w.Window).Int("teams", len(w.Counts)).Int64("requests", total(w.Counts)).
				Int("missing-instances", w.Missing).Str("dropped", map[bool]string{true: "yes", false: "no"}[s.Dropped]).
				Int64("late-ms", d.clock.Now(bootclock.Now()).Sub(d.windows.End(w.Window)).Milliseconds()).Send()
		}
	})
}

func total(counts map[string]int64) int64 {
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}

// sendReports reports the windows in the store that were not accepted. A window whose counts in the store are not those that
// this instance knows is left alone, as its report may have been accepted with other counts. mu must be held.
func (d *duties) sendReports(now time.Duration, stored usage.Record) {
	for _, s := range stored.Windows {
		known, ok := d.report.sealed.Find(s.Window)
		c := d.report.calls[s.Window]
		if !s.IsPending() || !ok || !known.IsPending() || !maps.Equal(s.Counts, known.Counts) || c.open || now < c.next {
			continue
		}
		d.report.calls[s.Window] = usageCall{open: true}
		d.i.tasks.Go(func() { d.i.recoverPanics("usage report", func() { d.sendReport(s) }) })
	}
	for window := range d.report.calls {
		if _, ok := stored.Find(window); !ok {
			delete(d.report.calls, window)
		}
	}
}

// sendReport reports a sealed window.
func (d *duties) sendReport(s usage.Sealed) {
	err := d.call(UsageReportDuty, func(ctx context.Context, right duty.Right) error {
		return d.cfg.UsageReporter.ReportUsage(ctx, right.Holder, right.Token, s.Window, s.Counts)
	})
	now := bootclock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.calls[s.Window] = usageCall{next: now + usageRetryDelay}
	if err != nil {
		return
	}
	delete(d.report.calls, s.Window)
	d.report.sealed = d.report.sealed.With(usage.Sealed{Window: s.Window, Accepted: true})
	d.report.lastSent, d.report.lastAt = s.Window, time.Now()
	late := d.clock.Now(now).Sub(d.windows.End(s.Window))
	d.metrics.accepted.Inc()
	e := event.UsageReported
	if late > d.windows.Due {
		d.metrics.late.Inc()
		e = event.UsageReportedLate
	}
	e.Log(d.i.log()).Int64("window", s.Window).Int64("requests", total(s.Counts)).Int64("late-ms", late.Milliseconds()).Send()
}
