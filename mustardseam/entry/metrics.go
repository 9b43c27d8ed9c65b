package entry

import (
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the counters and histograms of an instance.
type meters struct {
	set      *metrics.Set
	requests *metrics.Counter
	retries  *metrics.Counter
	resumed  *metrics.Counter
	panics   *metrics.Counter // That were contained.
	byHub    *metrics.Counter
	byItself *metrics.Counter
	first    *metrics.Histogram // Seconds from the arrival to the first event.
	total    *metrics.Histogram // Seconds from the arrival to the end.
}

func newMeters(i *Instance) *meters {
	set := metrics.NewSet()
	set.NewGauge("mustardseam_requests_active", func() float64 { return float64(i.active.Load()) })
	set.NewGauge("mustardseam_requests_waiting", func() float64 { return float64(i.scheduler.Waiting()) })
	set.NewGauge("mustardseam_log_lines_dropped", func() float64 { return float64(i.cfg.Log.Dropped()) })
	set.NewGauge("mustardseam_store_revision", func() float64 { return float64(i.view.Load().Revision) })
	set.NewGauge("mustardseam_backend_connections_opened", func() float64 { return float64(i.client.Dials()) })
	set.NewGauge("mustardseam_instances_placed_for", func() float64 { return float64(i.scheduler.Served()) })
	return &meters{
		set:      set,
		requests: set.NewCounter("mustardseam_requests_total"),
		retries:  set.NewCounter("mustardseam_retries_total"),
		resumed:  set.NewCounter("mustardseam_streams_resumed_total"),
		panics:   set.NewCounter("mustardseam_panics_total"),
		byHub:    set.NewCounter(`mustardseam_placed_total{by="hub"}`),
		byItself: set.NewCounter(`mustardseam_placed_total{by="itself"}`),
		first:    set.NewHistogram("mustardseam_first_event_seconds"),
		total:    set.NewHistogram("mustardseam_request_seconds"),
	}
}

// done counts a request that has ended.
func (m *meters) done(a *attempt) {
	m.set.GetOrCreateCounter(`mustardseam_answers_total{status="` + strconv.Itoa(a.status) + `"}`).Inc()
	m.total.UpdateDuration(a.exchange.Arrived)
}

// placed counts a request that got a backend server.
func (m *meters) placed(g *Grant) {
	if g.By != "" {
		m.byHub.Inc()
		return
	}
	m.byItself.Inc()
}

// WriteMetrics writes the counters and histograms as text.
func (i *Instance) WriteMetrics(w io.Writer) { i.metrics.set.WritePrometheus(w) }
