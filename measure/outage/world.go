package outage

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/mustardseam/mustardseam/measure/clock"
)

// World simulates a region whose store fails.
type World struct {
	Clock    *clock.Clock
	Requests []*Request
	Tally    Tally
	Config   Spread // Propagation of the accepted configurations.
	Marks    Spread // Propagation of the rollback mark that is set during the outage.

	cfg       Config
	rnd       *rand.Rand
	store     *store
	instances []*instance
	calls     []*call
	lastGrant time.Duration // Time of the last sample at which some instance could grant permits.
}

// Tally counts violations of the guarantees, and the longest time without a granting instance.
type Tally struct {
	FalseNotRun int           // Calls that the service executed but that were answered as not run.
	Accepted    int           // Submissions accepted while the store was down.
	Lost        int           // Calls that a live entry instance never answered.
	TwoHomes    int           // Samples at which more than one instance could grant the full capacity.
	Without     time.Duration // Longest time in which no instance could grant permits.
}

// New returns a World with its faults and request arrivals scheduled.
func New(cfg Config) *World {
	c := &clock.Clock{}
	w := &World{Clock: c, cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1))}
	w.store = &store{clock: c, rnd: rand.New(rand.NewPCG(cfg.Seed, 2)), keys: map[string]item{}, lostShare: cfg.LostAt}
	for i, e := range cfg.Site.Entries {
		w.instances = append(w.instances, newInstance(w, e.Name, fmt.Sprintf("127.0.0.1:%d", 8001+i)))
	}
	for _, i := range w.instances {
		i.run()
	}
	c.At(cfg.From, func() { w.store.down = true })
	c.At(cfg.To, func() { w.store.down = false })
	if cfg.HomeDies > 0 {
		c.At(cfg.HomeDies, w.killHome)
	}
	w.scheduleArrivals()
	return w
}

// samplePeriod is the period at which sampleGrants checks which instances may grant permits.
const samplePeriod = 20 * time.Millisecond

// Run runs the simulation until drainTime after Config.End and counts the calls without an answer.
func (w *World) Run() {
	w.Clock.Every(samplePeriod, samplePeriod, func() bool {
		w.sampleGrants()
		return true
	})
	w.Clock.Run(w.cfg.End + drainTime)
	for _, c := range w.calls {
		if !c.closed && !c.entry.dead {
			w.Tally.Lost++
		}
	}
}

// scheduleArrivals schedules the requests: three quarters have a key that contains a time, one eighth a key without a time,
// and the rest no key.
func (w *World) scheduleArrivals() {
	interarrival := distuv.Exponential{Rate: w.cfg.Rate, Src: w.rnd}
	at := 10 * time.Second // A home has been established by then.
	for n := 0; ; n++ {
		at += time.Duration(interarrival.Rand() * float64(time.Second))
		if at >= w.cfg.End {
			return
		}
		r := &Request{ID: fmt.Sprintf("r%d", n), At: at}
		switch n % 8 {
		case 0:
		case 1:
			r.Key = "order-" + r.ID
		default:
			r.Key = fmt.Sprintf("%d-%s", clock.Start.Add(at).Unix(), r.ID)
		}
		w.Requests = append(w.Requests, r)
		w.Clock.At(at, func() { w.call(r) })
	}
}

// call makes the next call of a request at a random live instance.
func (w *World) call(r *Request) {
	r.Calls++
	c := &call{Request: r, id: fmt.Sprintf("%s#%d", r.ID, r.Calls), entry: w.randomInstance()}
	w.calls = append(w.calls, c)
	w.Clock.After(clientDelay, func() { c.entry.poll(c) })
	w.Clock.After(callTimeout, func() { c.entry.expire(c) })
	w.Clock.After(callerTimeout, func() {
		if r.Final == Open && r.Calls < maxCalls && c.id == fmt.Sprintf("%s#%d", r.ID, r.Calls) {
			w.call(r)
		}
	})
}

// answer sends an entry instance's answer to the caller unless it is lost on the way. The caller repeats calls that were
// not run or are in progress, up to maxCalls.
func (w *World) answer(c *call, f Final) {
	if c.closed || c.entry.dead {
		return
	}
	c.closed = true
	if f == NotRun && c.executions > 0 {
		w.Tally.FalseNotRun++
	}
	if w.rnd.Float64() < w.cfg.LostOn {
		return
	}
	w.Clock.After(clientDelay, func() {
		if c.Final != Open {
			return
		}
		retryable := f == NotRun || f == InProgress
		if retryable && c.Calls < maxCalls {
			w.Clock.After(retryDelay, func() {
				if c.Final == Open {
					w.call(c.Request)
				}
			})
			return
		}
		c.Final, c.Ended = f, w.Clock.Since()
	})
}

// randomInstance returns a random live instance.
func (w *World) randomInstance() *instance {
	for {
		if i := w.instances[w.rnd.IntN(len(w.instances))]; !i.dead {
			return i
		}
	}
}

// byID returns the live instance with the given ID, or nil.
func (w *World) byID(id string) *instance {
	for _, i := range w.instances {
		if i.id == id && !i.dead {
			return i
		}
	}
	return nil
}

// killHome stops the live instance that is named home.
func (w *World) killHome() {
	for _, i := range w.instances {
		if !i.dead && i.tenure.NamedHome() {
			i.dead, i.diedAt = true, w.Clock.Since()
			return
		}
	}
}

// sampleGrants checks how many instances may grant permits. Instances in static share mode count as one.
func (w *World) sampleGrants() {
	homes, now := 0, w.Clock.Now()
	for _, i := range w.instances {
		if !i.dead && i.tenure.MayGrant(now) {
			homes++
			if i.tenure.ShareDivisor(now) > 1 {
				homes = 1
				break
			}
		}
	}
	switch {
	case homes > 1:
		w.Tally.TwoHomes++
	case homes == 1:
		w.lastGrant = w.Clock.Since()
	}
	w.Tally.Without = max(w.Tally.Without, w.Clock.Since()-w.lastGrant)
}
