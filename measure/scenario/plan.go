package scenario

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
)

// plan describes a run on one site.
type plan struct {
	site     site.Site
	phases   []load.Phase
	capacity time.Duration // Work per second of the saturated fleet.
	from, to time.Duration // Requests that arrive in this window are measured.
	end      time.Duration // All requests have ended.
	rated    bool          // The load is the rated one all the time, so that the latency targets apply.
	adjust   func(*drive.Config)
	faults   func(*drive.Simulation)
	figures  func(*run) []figure.Figure // Beyond the common ones; may be nil.
}

// run is a plan that has been carried out.
type run struct {
	plan
	w       *drive.Simulation
	first   figure.Latency // Time to first token.
	between figure.Latency // Time between tokens.
	service figure.Latency // Duration of calls to plain services.
	backlog backlog
}

// sampling is the period at which the backlog of the teams is read.
const sampling = 100 * time.Millisecond

func execute(p plan, o Options) *run {
	cfg := drive.Config{Site: p.site, Seed: o.Seed, NewScheduler: o.Make}
	if cfg.NewScheduler == nil {
		cfg.NewScheduler = Pool
	}
	cfg.Arrivals = load.Arrivals(o.Seed, len(p.site.Entries), p.phases)
	if p.adjust != nil {
		p.adjust(&cfg)
	}
	r := &run{plan: p, w: drive.New(cfg), backlog: backlog{}}
	r.w.OnToken = func(rec *drive.Record, gap time.Duration) {
		if r.measured(rec) {
			r.between.Add(gap)
		}
	}
	r.w.Clock.Every(p.from, sampling, func() bool {
		r.backlog.sample(r.w.WaitingTeamTiers(site.Models))
		return r.w.Clock.Since() < p.to
	})
	if p.faults != nil {
		p.faults(r.w)
	}
	r.w.Run(p.end)
	for _, rec := range r.w.Records {
		r.collect(rec)
	}
	return r
}

// measured reports whether the request belongs to the window and the record tells how it ended.
func (r *run) measured(rec *drive.Record) bool {
	return rec.At >= r.from && rec.At < r.to && !rec.Retried
}

func (r *run) collect(rec *drive.Record) {
	switch {
	case !r.measured(rec):
	case r.isService(rec):
		r.service.Add(rec.EndedAt.Sub(rec.ArrivedAt))
	case rec.AnswerTokens > 0:
		r.first.Add(rec.FirstToken)
	}
}

func (r *run) isService(rec *drive.Record) bool { return rec.NonIdempotent }
