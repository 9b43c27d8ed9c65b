package scenario

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
)

// plan describes a simulation of one site.
type plan struct {
	site                   site.Site
	phases                 []load.Phase
	capacity               time.Duration              // Work per second that the saturated fleet completes.
	windowStart, windowEnd time.Duration              // Requests that arrive in this window are measured.
	end                    time.Duration              // Offset by which all requests have ended.
	hasLatencyTargets      bool                       // The latency targets apply, because the load never exceeds the rated one.
	adjustConfig           func(*drive.Config)        // Changes the configuration of the simulation; may be nil.
	scheduleEvents         func(*drive.Simulation)    // Schedules faults and other events; may be nil.
	extraFigures           func(*run) []figure.Figure // Returns figures in addition to the common ones; may be nil.
}

// run is an executed plan with its simulation and measurements.
type run struct {
	plan
	sim         *drive.Simulation
	firstToken  figure.Latency // Time to first token.
	interToken  figure.Latency // Time between tokens.
	serviceCall figure.Latency // Duration of calls to plain services.
	backlog     backlogSamples
}

// backlogInterval is the interval at which the backlog of the teams is sampled.
const backlogInterval = 100 * time.Millisecond

func execute(p plan, o Options) *run {
	cfg := drive.Config{Site: p.site, Seed: o.Seed, NewScheduler: o.NewScheduler}
	if cfg.NewScheduler == nil {
		cfg.NewScheduler = NewPool
	}
	cfg.Arrivals = load.Arrivals(o.Seed, len(p.site.Entries), p.phases)
	if p.adjustConfig != nil {
		p.adjustConfig(&cfg)
	}
	r := &run{plan: p, sim: drive.New(cfg), backlog: backlogSamples{}}
	r.sim.OnToken = func(rec *drive.Record, gap time.Duration) {
		if r.inWindow(rec) {
			r.interToken.Add(gap)
		}
	}
	r.sim.Clock.Every(p.windowStart, backlogInterval, func() bool {
		r.backlog.add(r.sim.WaitingTeamTiers(site.Models))
		return r.sim.Clock.Since() < p.windowEnd
	})
	if p.scheduleEvents != nil {
		p.scheduleEvents(r.sim)
	}
	r.sim.Run(p.end)
	for _, rec := range r.sim.Records {
		r.recordLatency(rec)
	}
	return r
}

// inWindow reports whether the request arrived in the measured window and its record holds the final outcome.
func (r *run) inWindow(rec *drive.Record) bool {
	return rec.At >= r.windowStart && rec.At < r.windowEnd && !rec.Retried
}

func (r *run) recordLatency(rec *drive.Record) {
	switch {
	case !r.inWindow(rec):
	case r.isService(rec):
		r.serviceCall.Add(rec.EndedAt.Sub(rec.ArrivedAt))
	case rec.AnswerTokens > 0:
		r.firstToken.Add(rec.FirstToken)
	}
}

func (r *run) isService(rec *drive.Record) bool { return rec.NonIdempotent }
