package entry

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// instanceMetrics holds the counters and histograms of an instance.
type instanceMetrics struct {
	set           *metrics.Set
	requests      *metrics.Counter
	retries       *metrics.Counter
	resumed       *metrics.Counter
	panics        *metrics.Counter // Recovered panics.
	placedByHub   *metrics.Counter
	placedLocally *metrics.Counter
	answersCut    *metrics.Counter // Answers that backend servers cut off by ending the connection.
	quarantined   *metrics.Counter // Requests refused because their prompts crash backend servers.
	// refusedStopping counts requests that were refused because they could not end before a planned stop.
	refusedStopping *metrics.Counter
	limitedSends    *metrics.Counter   // Requests sent to backend servers with a known request limit.
	firstEvent      *metrics.Histogram // Seconds from the arrival to the first event.
	total           *metrics.Histogram // Seconds from the arrival to the end.
}

func newInstanceMetrics(i *Instance) *instanceMetrics {
	set := metrics.NewSet()
	set.NewGauge("mustardseam_requests_active", func() float64 { return float64(i.active.Load()) })
	set.NewGauge("mustardseam_requests_waiting", func() float64 { return float64(i.scheduler.Waiting()) })
	set.NewGauge("mustardseam_log_lines_dropped", func() float64 { return float64(i.cfg.LogWriter.Dropped()) })
	set.NewGauge("mustardseam_store_revision", func() float64 { return float64(i.follower.Position().Revision) })
	set.NewGauge("mustardseam_store_era", func() float64 { return float64(i.follower.Position().Era) })
	set.NewGauge("mustardseam_store_items_held", func() float64 { return float64(i.follower.Held()) })
	set.NewGauge("mustardseam_backend_connections_opened", func() float64 { return float64(i.client.DialCount()) })
	set.NewGauge("mustardseam_instances_placed_for", func() float64 { return float64(i.scheduler.Clients()) })
	set.NewGauge("mustardseam_servers_limited", func() float64 { return float64(i.scheduler.LimitedServers()) })
	set.NewGauge("mustardseam_prompt_patterns_quarantined", func() float64 { return float64(len(i.quarantine.Patterns(time.Now()))) })
	set.NewGauge("mustardseam_returns_expected", func() float64 { return float64(i.scheduler.Returning()) })
	set.NewGauge("mustardseam_returns_recognized_total", func() float64 { return float64(i.scheduler.ReturnsRecognized()) })
	set.NewGauge("mustardseam_crashes_known", func() float64 { return float64(i.quarantine.Len()) })
	return &instanceMetrics{
		set:             set,
		requests:        set.NewCounter("mustardseam_requests_total"),
		retries:         set.NewCounter("mustardseam_retries_total"),
		resumed:         set.NewCounter("mustardseam_streams_resumed_total"),
		panics:          set.NewCounter("mustardseam_panics_total"),
		placedByHub:     set.NewCounter(`mustardseam_placed_total{by="hub"}`),
		placedLocally:   set.NewCounter(`mustardseam_placed_total{by="itself"}`),
		answersCut:      set.NewCounter("mustardseam_answers_cut_total"),
		quarantined:     set.NewCounter("mustardseam_quarantined_requests_total"),
		refusedStopping: set.NewCounter("mustardseam_stop_refusals_total"),
		limitedSends:    set.NewCounter("mustardseam_limited_sends_total"),
		firstEvent:      set.NewHistogram("mustardseam_first_event_seconds"),
		total:           set.NewHistogram("mustardseam_request_seconds"),
	}
}

// requestDone counts a request that has ended.
func (m *instanceMetrics) requestDone(req *request) {
	m.set.GetOrCreateCounter(`mustardseam_answers_total{status="` + strconv.Itoa(req.status) + `"}`).Inc()
	m.total.UpdateDuration(req.exchange.ReceivedAt)
}

// requestRefused counts a refusal by cause, tier, route and attempt of the caller.
func (m *instanceMetrics) requestRefused(req *request, r *placement.Refusal) {
	tier, route := "", ""
	if req.job != nil {
		tier, route = strconv.Itoa(req.job.Tier), req.job.Route
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardseam_refusals_total{cause=%q,attempt=%q,tier=%q,route=%q}",
		r.Cause, attemptName(r), tier, route)).Inc()
}

// attemptName names the attempt of the caller that was refused.
func attemptName(r *placement.Refusal) string {
	if r.Returned {
		return "second"
	}
	return "first"
}

// requestPlaced counts a request that was placed on a backend server, and the time from its arrival.
func (m *instanceMetrics) requestPlaced(req *request, g *Grant) {
	if req.sends == 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("mustardseam_wait_seconds{tier=%q,route=%q}", strconv.Itoa(req.job.Tier),
			req.job.Route)).Update(time.Since(req.exchange.ReceivedAt).Seconds())
	}
	if g.Hub != "" {
		m.placedByHub.Inc()
		return
	}
	m.placedLocally.Inc()
}

// WriteMetrics writes the metrics in Prometheus text format.
func (i *Instance) WriteMetrics(w io.Writer) { i.metrics.set.WritePrometheus(w) }
