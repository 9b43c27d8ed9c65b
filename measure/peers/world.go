package peers

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/clock"
	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// World is a deployment under load in virtual time.
type World struct {
	Clock   *clock.Clock
	Records []*Record

	cfg     Config
	service *fleet.Service
	servers []*fleet.Server
	engines map[string]*engine.Engine
	down    map[string]bool
	nodes   []*node
	runs    int
}

// Play runs a deployment under one of the policies and returns the history of its requests.
func Play(cfg Config, policy string) *World {
	w := &World{
		Clock: &clock.Clock{}, cfg: cfg, engines: map[string]*engine.Engine{}, down: map[string]bool{},
		service: &fleet.Service{Name: "models", Engine: true, TokensPerEvent: cfg.Stride},
	}
	for _, e := range cfg.Engines {
		w.servers = append(w.servers, &fleet.Server{ID: e.Name, Service: w.service.Name, Slots: e.MaxBatch})
		w.engines[e.Name] = engine.New(w.Clock, e, false)
	}
	instances := cfg.Instances
	if policy == "one-instance" {
		instances, w.cfg.Lost = 1, 0
	}
	for i := range instances {
		w.nodes = append(w.nodes, w.node(i, policy))
	}
	for _, f := range cfg.Faults {
		w.fault(f)
	}
	if w.cfg.Lost > 0 {
		w.Clock.At(w.cfg.Lost, w.nodes[0].lose)
	}
	for _, r := range Arrivals(cfg) {
		w.Records = append(w.Records, r)
		w.Clock.At(r.At, func() { w.call(r) })
	}
	w.Clock.Run(cfg.End)
	return w
}

// node returns a running instance.
func (w *World) node(i int, policy string) *node {
	rnd := rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)))
	n := &node{w: w, waiting: map[*placement.Waiting]*Record{}, running: map[*run]bool{}, turn: i}
	n.board = placement.NewBoard(placement.BoardConfig{Self: fmt.Sprintf("n%d", i), Random: rnd.Float64})
	n.choose = n.chooser(policy)
	w.Clock.Every(w.cfg.Word*time.Duration(i)/time.Duration(w.cfg.Instances), w.cfg.Word, func() bool {
		if !n.dead {
			n.hear()
		}
		return !n.dead
	})
	w.Clock.Every(pump, pump, func() bool {
		n.pump()
		return !n.dead
	})
	return n
}

// Arrivals returns the requests of a deployment in the order of their arrival.
func Arrivals(cfg Config) []*Record {
	var list []*Record
	for i := range cfg.Kinds {
		k := &cfg.Kinds[i]
		mix := load.Mix{
			Teams: []load.Choice{{Name: "team", Weight: 1}}, Tiers: []float64{1}, Routes: []load.Choice{{Name: k.Name, Weight: 1}},
			Prompt: k.Prompt, Output: k.Output, Timeouts: []time.Duration{k.Deadline},
		}
		var phases []load.Phase
		for _, l := range cfg.Loads {
			phases = append(phases, load.Phase{Mix: mix, Rate: k.Rate * l.Factor, Start: l.From, End: l.To})
		}
		for _, r := range load.Arrivals(cfg.Seed+uint64(i)<<32, cfg.Instances, phases) {
			list = append(list, &Record{Request: r, Kind: k})
		}
	}
	return sorted(list)
}

// sorted orders requests by their arrival.
func sorted(list []*Record) []*Record {
	slices.SortStableFunc(list, func(a, b *Record) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind.Name, b.Kind.Name)) })
	return list
}

// fault lets something happen to an engine.
func (w *World) fault(f Fault) {
	e, name := w.engines[w.cfg.Engines[f.Engine].Name], w.cfg.Engines[f.Engine].Name
	w.Clock.At(f.From, func() {
		if f.Slow > 0 {
			e.SetFaults(engine.Faults{Slow: f.Slow})
			return
		}
		w.down[name] = true
		e.Restart()
	})
	w.Clock.At(f.To, func() {
		w.down[name] = false
		e.SetFaults(engine.Faults{})
	})
}

// call is a call of a request's caller.
func (w *World) call(r *Record) {
	if r.State != Open {
		return // Its deadline has passed meanwhile.
	}
	now := w.Clock.Now()
	if r.calls == 0 {
		r.arrived = now
		w.Clock.After(r.Kind.Deadline, func() { w.expire(r) })
	}
	r.calls++
	n := w.nodes[r.Entry%len(w.nodes)]
	for i := 1; n.dead; i++ {
		n = w.nodes[(r.Entry+i)%len(w.nodes)]
	}
	r.job = &placement.Job{
		Route: r.Kind.Name, Team: r.Team, Tier: r.Kind.Tier, RouteTier: r.Kind.Tier, PromptTokens: r.Prompt, MaxOutputTokens: r.MaxOutput,
		Gap: r.Kind.Gap, Arrived: now, Objective: now.Add(r.Kind.Objective), Deadline: r.arrived.Add(r.Kind.Deadline),
	}
	n.call(r)
}

// refuse answers a caller that its request was not run; it comes back once.
func (w *World) refuse(r *Record, refusal *placement.Refusal) {
	r.Refused++
	if r.calls > 1 {
		r.State = Refused
		return
	}
	w.Clock.After(refusal.RetryAfter, func() { w.call(r) })
}

// again sends a request to another backend server where its kind allows that.
func (w *World) again(n *node, r *Record, failed *fleet.Server) {
	if n.dead || r.Sends >= r.Kind.Sends {
		w.fail(r)
		return
	}
	r.job.Tried = append(r.job.Tried, failed.Incarnation())
	n.call(r)
}

// fail breaks a caller's connection; it comes back once.
func (w *World) fail(r *Record) {
	if r.calls > 1 {
		r.State = Failed
		return
	}
	r.run, r.First, r.Pause = nil, 0, 0
	w.Clock.After(comeBack, func() { w.call(r) })
}

// expire ends a request whose deadline has passed.
func (w *World) expire(r *Record) {
	if r.State != Open {
		return
	}
	r.State = Failed
	for _, n := range w.nodes {
		n.withdraw(r)
	}
	if u := r.run; u != nil {
		u.cancel()
		u.node.finish(u, placement.Outcome{Abandoned: true})
	}
}
