package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/bootclock"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

const (
	// backupCount is the number of instances that keep the counts of all, besides the hub and the holder. More than half of the
	// instances may lose power at once; then one of six is left in 97 of 100 cases.
	backupCount = 4
	// backupInterval is how often the hub chooses the instances that keep the counts of all.
	backupInterval = 500 * time.Millisecond
)

// windowSync is how far the counts of usage windows have been exchanged with a hub, in numbers of changes.
type windowSync struct {
	hub   string
	run   int64 // Random id of the hub's run of its process; 0 before its first answer.
	sent  int64 // Changes of this instance that the hub has.
	known int64 // Changes of the hub that this instance has.
}

// addToReport adds the clock and the counts of this instance to a report. It returns the number of changes up to which the
// report is complete, and the time of the boot clock.
func (d *duties) addToReport(report *hub.Report, target fleet.Instance) (upTo int64, sent time.Duration) {
	if d == nil {
		return 0, 0
	}
	sent = bootclock.Now()
	report.ClockUS = d.clock.Own(sent).UnixMicro()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sync.hub != target.Name {
		d.sync = windowSync{hub: target.Name}
	}
	d.ledger.Advance(d.window(sent))
	report.Windows, upTo = d.ledger.Since(d.sync.sent, d.sync.run)
	report.WindowRun, report.WindowSequence = d.sync.run, d.sync.known
	report.WindowsWanted = d.status.Held
	return upTo, sent
}

// applyResponse takes over the clock and the counts in a hub's response to a report.
func (d *duties) applyResponse(target fleet.Instance, response hub.ReportResponse, upTo int64, sent time.Duration) {
	if d == nil {
		return
	}
	now := bootclock.Now()
	if response.ClockUS != 0 {
		d.clock.Adopt(sent, now, response.Run, time.UnixMicro(response.ClockUS))
	}
	d.ledger.Merge(response.Run, response.Windows)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sync.run != 0 && d.sync.run != response.Run {
		upTo = 0 // The hub has started again and lacks what was sent before.
	}
	known := response.WindowSequence
	if known == 0 && d.sync.run == response.Run {
		known = d.sync.known // The response has no counts.
	}
	d.sync = windowSync{hub: target.Name, run: response.Run, sent: upTo, known: known}
}

// handleReport takes over the clock and the counts in the report of another instance and adds those of this one to the
// response.
func (d *duties) handleReport(report hub.Report, response *hub.ReportResponse) {
	if d == nil {
		return
	}
	now := bootclock.Now()
	if report.ClockUS != 0 {
		d.clock.Vote(now, report.Instance, report.Run, time.UnixMicro(report.ClockUS))
	}
	d.ledger.Merge(report.Run, report.Windows)
	if d.clock.Agree(now) {
		response.ClockUS = d.clock.Now(now).UnixMicro()
	}
	d.mu.Lock()
	backup := d.backups[report.Instance]
	d.mu.Unlock()
	if !backup && !report.WindowsWanted {
		return
	}
	var known int64
	if report.WindowRun == d.i.runID {
		known = report.WindowSequence
	}
	response.Windows, response.WindowSequence = d.ledger.Since(known, report.Run)
}

// updateBackups chooses the instances that keep the counts of all: those that are likely to be the next hub and holder.
func (d *duties) updateBackups(now time.Duration) {
	d.mu.Lock()
	due := now-d.backupsAt >= backupInterval
	if due {
		d.backupsAt = now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	running := map[string]bool{}
	for _, name := range d.i.scheduler.runningInstances() {
		running[name] = true
	}
	backups := map[string]bool{}
	for _, candidate := range hub.RankCandidates(d.i.view.Load().Instances) {
		if len(backups) == backupCount {
			break
		}
		if candidate.Name != d.i.cfg.Name && running[candidate.Name] {
			backups[candidate.Name] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backups = backups
}
