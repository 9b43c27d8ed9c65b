package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

const (
	// askWait is how long the hub may hold a message while requests wait.
	askWait = 200 * time.Millisecond
	// askPause is the mean time for which requests are placed here after the hub did not answer; it doubles up to
	// mostAskPause. A hub that is down is replaced meanwhile. One that is overloaded is not asked by all at the same moment.
	askPause     = 300 * time.Millisecond
	mostAskPause = 2400 * time.Millisecond
	// beganTime is how long news of first events may wait for other news; they only tell which prompts are read.
	beganTime = 30 * time.Millisecond
)

// asking lets the hub place the requests of this instance to engines, and tells it of their course. While the hub does not
// answer, requests are placed here.
type asking struct {
	cfg  askingConfig
	kick chan struct{}

	// mu is taken while that of the scheduler is held, so neither that nor the one of gossip is taken under it.
	mu       sync.Mutex
	next     int64                 // Of the ids; guarded by mu, as all that follow.
	running  map[int64]hub.Running // Requests at backend servers.
	asks     map[int64]*openAsk
	news     hub.News
	sequence int64
	hub      string    // That knows what runs; empty for none.
	paused   time.Time // Until then.
	losses   int       // Of the hub, since its latest decision.
	polling  bool
	drops    int  // Rises when what was on its way to the hub became void.
	ended    bool // Nothing is sent any more.
}

// askingConfig says who is asked and who sends the requests.
type askingConfig struct {
	node      string
	run       int64 // Tells the runs of this instance apart.
	scheduler *Scheduler
	hub       func(now time.Time) (fleet.Node, bool) // False when none answers.
	place     func(address string, n hub.News) (hub.Decisions, error)
	log       *zerolog.Logger
}

// openAsk is a request that the hub has not decided on.
type openAsk struct {
	service string
	job     *place.Job
	sent    bool
	by      string // The hub that decided; valid once it has.
	decided chan hub.Decision
}

func newAsking(cfg askingConfig) *asking {
	return &asking{cfg: cfg, kick: make(chan struct{}, 1), running: map[int64]hub.Running{}, asks: map[int64]*openAsk{}}
}

// Obtain returns what the hub decides on a job, and false when no hub answers.
func (a *asking) Obtain(ctx context.Context, service string, j *place.Job) (*Grant, bool, error) {
	c := a.cfg.scheduler.cfg.view().Config
	if c == nil {
		return nil, false, nil
	}
	svc := c.Service(service)
	if svc == nil || !svc.Engine || !a.open() {
		return nil, false, nil
	}
	id, ask := a.add(service, j)
	select {
	case d := <-ask.decided:
		switch {
		case d.Void:
			return nil, false, nil
		case d.Server == fleet.Incarnation{}:
			return nil, true, &place.Refusal{Reason: d.Reason, After: time.Duration(d.AfterMS) * time.Millisecond}
		}
		if g := a.cfg.scheduler.accept(svc, j, d); g != nil {
			g.id, g.By = id, ask.by
			return g, true, nil
		}
		a.Ended(&Grant{id: id}, place.Outcome{Left: true})
		return nil, false, nil
	case <-ctx.Done():
		a.withdraw(id, ask)
		return nil, true, context.Cause(ctx)
	}
}

// open reports whether there is a hub to ask.
func (a *asking) open() bool {
	now := time.Now()
	if _, ok := a.cfg.hub(now); !ok {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.ended && !now.Before(a.paused)
}

// add keeps a job for the next message.
func (a *asking) add(service string, j *place.Job) (int64, *openAsk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	ask := &openAsk{service: service, job: j, decided: make(chan hub.Decision, 1)}
	a.asks[a.next] = ask
	a.wake()
	return a.next, ask
}

// withdraw takes an ask back; where it was decided meanwhile, the hub learns that its decision was not used.
func (a *asking) withdraw(id int64, ask *openAsk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asks[id] == nil {
		if d := <-ask.decided; (d.Server != fleet.Incarnation{}) {
			a.end(id, place.Outcome{Left: true})
		}
		return
	}
	delete(a.asks, id)
	if ask.sent {
		a.news.Withdrawn = append(a.news.Withdrawn, id)
		a.wake()
	}
}

// Placed tells the hub of a request that was placed here.
func (a *asking) Placed(g *Grant) {
	if !g.Service.Engine {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	g.id = a.next
	r := hub.Running{ID: g.id, Server: g.Server.Incarnation(), Route: g.job.Route, Team: g.job.Team, Prompt: g.job.Prompt}
	a.running[g.id] = r
	a.news.Running = append(a.news.Running, r)
	a.wake()
}

// Began tells the hub of the first event of a request.
func (a *asking) Began(g *Grant, first time.Duration) {
	if g.id == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.running[g.id]
	r.Prompt = 0
	a.running[g.id] = r
	a.news.Began = append(a.news.Began, hub.Began{ID: g.id, FirstUS: first.Microseconds()})
	if len(a.news.Began) == 1 {
		time.AfterFunc(beganTime, a.wake)
	}
}

// Ended tells the hub of the end of a request.
func (a *asking) Ended(g *Grant, o place.Outcome) {
	if g.id == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end(g.id, o)
}

// end tells the hub that a request has ended; mu is held.
func (a *asking) end(id int64, o place.Outcome) {
	delete(a.running, id)
	a.news.Ended = append(a.news.Ended, hub.Ended{ID: id, Outcome: o})
	a.wake()
}

// wake lets the next message go.
func (a *asking) wake() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// told reports whether a hub knows the requests of this instance.
func (a *asking) told(to string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hub != "" && a.hub == to
}
