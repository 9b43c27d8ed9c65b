package entry

import (
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mustardseam/mustardseam/mustardseam/http1"
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
	prompts         *promptMetrics
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
	set.NewGauge("mustardseam_crashes_known", func() float64 { return float64(i.quarantine.Len()) })
	stat := func(name string, value func(s http1.ServerStats) int64) {
		set.NewGauge(name, func() float64 { return float64(value(i.server.Stats())) })
	}
	stat("mustardseam_caller_connections", func(s http1.ServerStats) int64 { return int64(s.OpenConns) })
	stat("mustardseam_request_memory_bytes", func(s http1.ServerStats) int64 { return s.RequestMemory })
	stat("mustardseam_request_memory_limit_bytes", func(s http1.ServerStats) int64 { return s.MemoryLimit })
	stat("mustardseam_memory_refusals_total", func(s http1.ServerStats) int64 { return s.RefusedRequests })
	stat("mustardseam_connections_replaced_total", func(s http1.ServerStats) int64 { return s.ReplacedConns })
	stat("mustardseam_connections_refused_total", func(s http1.ServerStats) int64 { return s.RefusedConns })
	stat("mustardseam_answers_abandoned_total", func(s http1.ServerStats) int64 { return s.AbandonedAnswers })
	set.NewGauge("mustardseam_instance_connections_replaced_total", func() float64 { return float64(i.peers.ReplacedConns()) })
	set.NewGauge("mustardseam_answer_memory_bytes", func() float64 { return float64(i.client.Stats().AnswerMemory) })
	set.NewGauge("mustardseam_answer_memory_limit_bytes", func() float64 { return float64(i.client.Stats().MemoryLimit) })
	set.NewGauge("mustardseam_answers_refused_memory_total", func() float64 { return float64(i.client.Stats().RefusedAnswers) })
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
		prompts:         newPromptMetrics(set, i.scheduler),
	}
}

// requestDone counts a request that has ended.
func (m *instanceMetrics) requestDone(req *request) {
	m.set.GetOrCreateCounter(`mustardseam_answers_total{status="` + strconv.Itoa(req.status) + `"}`).Inc()
	m.total.UpdateDuration(req.exchange.ReceivedAt)
}

// requestPlaced counts a request that was placed on a backend server.
func (m *instanceMetrics) requestPlaced(g *Grant) {
	m.prompts.requestPlaced(g)
	if g.Hub != "" {
		m.placedByHub.Inc()
		return
	}
	m.placedLocally.Inc()
}

// WriteMetrics writes the metrics in Prometheus text format.
func (i *Instance) WriteMetrics(w io.Writer) { i.metrics.set.WritePrometheus(w) }
