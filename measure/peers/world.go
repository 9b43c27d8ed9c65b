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

// World simulates a deployment under load in virtual time.
type World struct {
	Clock   *clock.Clock
	Records []*Record

	cfg        Config
	service    *fleet.Service
	servers    []*fleet.Server
	engines    map[string]*engine.Engine
	down       map[string]bool
	instances  []*instance
	admissions int
}

// Play simulates a deployment under one of the policies and returns it with the records of its requests.
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
		w.instances = append(w.instances, w.startInstance(i, policy))
	}
	for _, f := range cfg.Faults {
		w.scheduleFault(f)
	}
	if w.cfg.Lost > 0 {
		w.Clock.At(w.cfg.Lost, w.instances[0].fail)
	}
	for _, r := range Arrivals(cfg) {
		w.Records = append(w.Records, r)
		w.Clock.At(r.At, func() { w.call(r) })
	}
	w.Clock.Run(cfg.End)
	return w
}

// startInstance creates an instance and starts its periodic work.
func (w *World) startInstance(i int, policy string) *instance {
	rnd := rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)))
	inst := &instance{w: w, waiting: map[*placement.Waiting]*Record{}, running: map[*run]bool{}, nextServer: i}
	inst.board = placement.NewBoard(placement.BoardConfig{Self: fmt.Sprintf("n%d", i), Random: rnd.Float64})
	inst.choose = inst.newChooser(policy)
	w.Clock.Every(w.cfg.Word*time.Duration(i)/time.Duration(w.cfg.Instances), w.cfg.Word, func() bool {
		if !inst.dead {
			inst.exchangeLoads()
		}
		return !inst.dead
	})
	w.Clock.Every(queueInterval, queueInterval, func() bool {
		inst.placeWaiting()
		return !inst.dead
	})
	return inst
}

// Arrivals returns the requests of a deployment in order of arrival.
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
	return sortByArrival(list)
}

// sortByArrival sorts requests in place by arrival time, then by name of their kind.
func sortByArrival(list []*Record) []*Record {
	slices.SortStableFunc(list, func(a, b *Record) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind.Name, b.Kind.Name)) })
	return list
}

// scheduleFault schedules the start and the end of an engine fault.
func (w *World) scheduleFault(f Fault) {
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

// call makes a call for a request at its entry instance, or at the next live one.
func (w *World) call(r *Record) {
	if r.State != Open {
		return // The deadline passed before this call.
	}
	now := w.Clock.Now()
	if r.calls == 0 {
		r.arrived = now
		w.Clock.After(r.Kind.Deadline, func() { w.expire(r) })
	}
	r.calls++
	inst := w.instances[r.Entry%len(w.instances)]
	for i := 1; inst.dead; i++ {
		inst = w.instances[(r.Entry+i)%len(w.instances)]
	}
	r.job = &placement.Job{
		Route: r.Kind.Name, Team: r.Team, Tier: r.Kind.Tier, RouteTier: r.Kind.Tier, PromptTokens: r.Prompt, MaxOutputTokens: r.MaxOutput,
		Gap: r.Kind.Gap, Arrived: now, Objective: now.Add(r.Kind.Objective), Deadline: r.arrived.Add(r.Kind.Deadline),
	}
	inst.handleCall(r)
}

// refuse answers a call as not run. The caller retries once.
func (w *World) refuse(r *Record, refusal *placement.Refusal) {
	r.Refused++
	if r.calls > 1 {
		r.State = Refused
		return
	}
	w.Clock.After(refusal.RetryAfter, func() { w.call(r) })
}

// retry sends a request to another backend server if its kind allows another attempt.
func (w *World) retry(inst *instance, r *Record, failed *fleet.Server) {
	if inst.dead || r.Sends >= r.Kind.Sends {
		w.breakConnection(r)
		return
	}
	r.job.Tried = append(r.job.Tried, failed.Incarnation())
	inst.handleCall(r)
}

// breakConnection breaks a caller's connection. The caller retries once.
func (w *World) breakConnection(r *Record) {
	if r.calls > 1 {
		r.State = Failed
		return
	}
	r.run, r.First, r.Pause = nil, 0, 0
	w.Clock.After(reconnectDelay, func() { w.call(r) })
}

// expire fails a request whose deadline has passed.
func (w *World) expire(r *Record) {
	if r.State != Open {
		return
	}
	r.State = Failed
	for _, inst := range w.instances {
		inst.withdraw(r)
	}
	if u := r.run; u != nil {
		u.cancel()
		u.instance.finishRun(u, placement.Outcome{Abandoned: true})
	}
}
