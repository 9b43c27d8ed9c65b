package outage

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/mustardseam/mustardseam/measure/clock"
)

// World is a region whose store fails.
type World struct {
	Clock    *clock.Clock
	Requests []*Request
	Tally    Tally
	Config   Spread // Of the accepted configurations.
	Marks    Spread // Of the rollback mark that is set while the store is down.

	cfg       Config
	rnd       *rand.Rand
	store     *store
	instances []*instance
	calls     []*call
	granted   time.Duration // Last sample at which somebody had a right to grant.
}

// Tally counts what must not happen.
type Tally struct {
	FalseNotRun int           // Calls answered as not run that the service executed.
	Accepted    int           // Submissions accepted without the store.
	Lost        int           // Calls without any answer from a live instance.
	TwoHomes    int           // Samples at which two instances had the whole right to grant.
	Without     time.Duration // Longest time in which nobody had a right to grant.
}

// New returns a world whose arrivals are scheduled.
func New(cfg Config) *World {
	c := &clock.Clock{}
	w := &World{Clock: c, cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1))}
	w.store = &store{clock: c, rnd: rand.New(rand.NewPCG(cfg.Seed, 2)), keys: map[string]item{}, lost: cfg.LostAt}
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
	w.arrive()
	return w
}

// sampling is the period at which the rights to grant are read.
const sampling = 20 * time.Millisecond

// Run runs the world until all requests have ended.
func (w *World) Run() {
	w.Clock.Every(sampling, sampling, func() bool {
		w.watch()
		return true
	})
	w.Clock.Run(w.cfg.End + drain)
	for _, c := range w.calls {
		if !c.closed && !c.entry.dead {
			w.Tally.Lost++
		}
	}
}

// arrive schedules the requests: three quarters have a timed key, one eighth a key without a time, the rest none.
func (w *World) arrive() {
	gap := distuv.Exponential{Rate: w.cfg.Rate, Src: w.rnd}
	at := 10 * time.Second // The first home is there by then.
	for n := 0; ; n++ {
		at += time.Duration(gap.Rand() * float64(time.Second))
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

// call makes the caller's next call at a random live instance.
func (w *World) call(r *Request) {
	r.Calls++
	c := &call{Request: r, id: fmt.Sprintf("%s#%d", r.ID, r.Calls), entry: w.anyone()}
	w.calls = append(w.calls, c)
	w.Clock.After(toClient, func() { c.entry.poll(c) })
	w.Clock.After(callTimeout, func() { c.entry.expire(c) })
	w.Clock.After(callerWait, func() {
		if r.Final == Open && r.Calls < callerTries && c.id == fmt.Sprintf("%s#%d", r.ID, r.Calls) {
			w.call(r)
		}
	})
}

// answer brings an entry instance's final answer to the caller, unless it is lost on the way.
func (w *World) answer(c *call, f Final) {
	if c.closed || c.entry.dead {
		return
	}
	c.closed = true
	if f == NotRun && c.ran > 0 {
		w.Tally.FalseNotRun++
	}
	if w.rnd.Float64() < w.cfg.LostOn {
		return
	}
	w.Clock.After(toClient, func() {
		if c.Final != Open {
			return
		}
		again := f == NotRun || f == InProgress
		if again && c.Calls < callerTries {
			w.Clock.After(callerPause, func() {
				if c.Final == Open {
					w.call(c.Request)
				}
			})
			return
		}
		c.Final, c.Ended = f, w.Clock.Since()
	})
}

// anyone returns a random live instance.
func (w *World) anyone() *instance {
	for {
		if i := w.instances[w.rnd.IntN(len(w.instances))]; !i.dead {
			return i
		}
	}
}

// byID returns the live instance of the id, or nil.
func (w *World) byID(id string) *instance {
	for _, i := range w.instances {
		if i.id == id && !i.dead {
			return i
		}
	}
	return nil
}

// killHome ends the instance that holds the home record.
func (w *World) killHome() {
	for _, i := range w.instances {
		if !i.dead && i.tenure.NamedHome() {
			i.dead, i.diedAt = true, w.Clock.Since()
			return
		}
	}
}

// watch samples the rights to grant.
func (w *World) watch() {
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
		w.granted = w.Clock.Since()
	}
	w.Tally.Without = max(w.Tally.Without, w.Clock.Since()-w.granted)
}
