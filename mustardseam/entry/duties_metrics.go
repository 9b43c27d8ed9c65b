package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// dutyMetrics holds the counters of duties.
type dutyMetrics struct {
	set      *metrics.Set
	acquired *metrics.Counter
	sealed   *metrics.Counter // Windows that this instance sealed.
	accepted *metrics.Counter // Windows whose report was accepted from this instance.
	late     *metrics.Counter // Those of accepted that were accepted after they were due.
}

func newDutyMetrics(d *duties) *dutyMetrics {
	set := d.i.metrics.set
	set.NewGauge("mustardseam_duty_held", func() float64 {
		if d.election.Status().Held {
			return 1
		}
		return 0
	})
	set.NewGauge("mustardseam_usage_windows_pending", func() float64 { return float64(len(d.pendingWindows())) })
	return &dutyMetrics{
		set:      set,
		acquired: set.NewCounter("mustardseam_duty_acquired_total"),
		sealed:   set.NewCounter("mustardseam_usage_windows_sealed_total"),
		accepted: set.NewCounter("mustardseam_usage_windows_accepted_total"),
		late:     set.NewCounter("mustardseam_usage_windows_late_total"),
	}
}

// countCall counts a call on a duty.
func (m *dutyMetrics) countCall(name, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mustardseam_duty_calls_total{duty=%q,result=%q}`, name, result)).Inc()
}
