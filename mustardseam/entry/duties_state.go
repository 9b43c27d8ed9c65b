package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/bootclock"
)

// DutiesState shows operators who performs the duties and how far the reports are.
type DutiesState struct {
	Names       []string `json:"names"`
	Holder      string   `json:"holder,omitempty"` // Holder by this instance's copy of the store.
	Held        bool     `json:"held"`             // This instance holds the duties.
	Token       int64    `json:"token,omitempty"`
	HeldSinceMS int64    `json:"held-since-ms,omitempty"` // When this instance acquired the duties, in Unix milliseconds.
	MayAct      bool     `json:"may-act"`
	Reason      string   `json:"reason"` // Why this instance last acquired or gave up the duties.
	ClockMS     int64    `json:"clock-ms"`
	// ClockCorrectionMS is how far the agreed time of all instances is ahead of the clock of this machine at the start.
	ClockCorrectionMS int64   `json:"clock-correction-ms"`
	Window            int64   `json:"window"` // Current usage window.
	PendingWindows    []int64 `json:"pending-windows,omitempty"`
	LastReport        int64   `json:"last-report,omitempty"`       // Latest window whose report was accepted from this instance.
	LastReportAtMS    int64   `json:"last-report-at-ms,omitempty"` // When it was, in Unix milliseconds.
}

// pendingWindows returns the sealed windows whose report is not known to be accepted.
func (d *duties) pendingWindows() []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pending []int64
	for _, s := range d.report.sealed.Windows {
		if s.IsPending() {
			pending = append(pending, s.Window)
		}
	}
	return pending
}

// state returns the state for operators; nil if there are no duties.
func (d *duties) state() *DutiesState {
	if d == nil {
		return nil
	}
	now := bootclock.Now()
	s := d.election.Status()
	clock := d.clock.Now(now)
	state := &DutiesState{
		Names: d.cfg.Names, Holder: s.Holder, Held: s.Held, Token: s.Token, MayAct: s.Held && now < s.Until, Reason: s.Reason,
		ClockMS: clock.UnixMilli(), ClockCorrectionMS: clock.Sub(d.clock.Own(now)).Milliseconds(), Window: d.windows.Number(clock),
		PendingWindows: d.pendingWindows(),
	}
	if s.Held {
		state.HeldSinceMS = clock.Add(s.Since - now).UnixMilli()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.report.lastSent != 0 {
		state.LastReport, state.LastReportAtMS = d.report.lastSent, d.report.lastAt.Round(time.Millisecond).UnixMilli()
	}
	return state
}
