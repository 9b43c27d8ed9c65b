package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

const (
	// askWait is how long the hub may hold a message while requests wait.
	askWait = 200 * time.Millisecond
	// askPause is how long requests are placed here after the hub did not answer. A hub that is down is replaced meanwhile.
	askPause = 300 * time.Millisecond
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

// run sends news until the instance ends; what comes up meanwhile goes with the next message.
func (a *asking) run(ctx context.Context) {
	var polls conc.WaitGroup
	defer a.close()
	defer polls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.kick:
			if to, ok := a.send(); ok {
				polls.Go(func() { a.poll(ctx, to) })
			}
		}
	}
}

// close leaves what waits to the instance.
func (a *asking) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.drop(time.Now(), 0)
}

// send tells the hub what there is to tell. It returns the hub that is to be polled for decisions, and false for none.
func (a *asking) send() (fleet.Node, bool) {
	now := time.Now()
	to, ok := a.cfg.hub(now)
	a.mu.Lock()
	if !ok || now.Before(a.paused) {
		a.drop(now, 0)
		a.mu.Unlock()
		return to, false
	}
	n, drops := a.message(to.Name), a.drops
	a.mu.Unlock()
	d, err := a.cfg.place(to.Address, n)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drops != drops {
		// A wait for decisions has failed meanwhile. The next message tells all that runs.
		return to, false
	}
	if !a.take(to.Name, d, err) && n.Fresh {
		a.paused = time.Now().Add(askPause)
	}
	if len(a.asks) == 0 || a.hub == "" || a.polling {
		return to, false
	}
	a.polling = true
	return to, true
}

// message makes the next message to a hub; mu is held.
func (a *asking) message(to string) hub.News {
	n := a.news
	a.news = hub.News{}
	if a.hub != to {
		n = hub.News{Fresh: true}
		for _, r := range a.running {
			n.Running = append(n.Running, r)
		}
	}
	a.sequence++
	n.Node, n.Run, n.Sequence = a.cfg.node, a.cfg.run, a.sequence
	now := time.Now()
	for id, ask := range a.asks {
		if !ask.sent {
			ask.sent = true
			n.Asks = append(n.Asks, askOf(now, id, ask))
		}
	}
	return n
}

// askOf translates a job.
func askOf(now time.Time, id int64, a *openAsk) hub.Ask {
	j := a.job
	return hub.Ask{
		ID: id, Service: a.service, Route: j.Route, Team: j.Team, Tier: j.Tier, Rank: j.Rank, DataCentre: j.DataCentre,
		Prompt: j.Prompt, Output: j.Output, Hint: j.Hint, GapMS: j.Gap.Milliseconds(), AgeMS: now.Sub(j.Arrived).Milliseconds(),
		ObjectiveMS: j.Objective.Sub(now).Milliseconds(), DeadlineMS: j.Deadline.Sub(now).Milliseconds(), Tried: j.Tried,
	}
}

// take takes in the answer of a hub and reports whether it places for this instance; mu is held.
func (a *asking) take(from string, d hub.Decisions, err error) bool {
	now := time.Now()
	if err != nil {
		event.PlacingLost.On(a.cfg.log).Str("hub", from).Int("asks", len(a.asks)).Err(err).Send()
		a.drop(now, askPause)
		return false
	}
	if !d.Known {
		a.drop(now, 0)
		return false
	}
	if a.hub != from {
		a.hub = from
		event.PlacingFound.On(a.cfg.log).Str("hub", from).Int("running", len(a.running)).Send()
	}
	for _, decision := range d.Decisions {
		if ask := a.asks[decision.ID]; ask != nil {
			delete(a.asks, decision.ID)
			ask.by = from
			if (decision.Server != fleet.Incarnation{}) {
				a.running[decision.ID] = hub.Running{
					ID: decision.ID, Server: decision.Server, Route: ask.job.Route, Team: ask.job.Team, Prompt: ask.job.Prompt,
				}
			}
			ask.decided <- decision
			continue
		}
		if (decision.Server != fleet.Incarnation{}) {
			a.end(decision.ID, place.Outcome{Left: true})
		}
	}
	return true
}

// drop leaves the requests that wait at the hub to this instance; mu is held.
func (a *asking) drop(now time.Time, pause time.Duration) {
	a.hub, a.news = "", hub.News{}
	a.drops++
	if pause > 0 {
		a.paused = now.Add(pause)
	}
	for id, ask := range a.asks {
		delete(a.asks, id)
		ask.decided <- hub.Decision{ID: id, Void: true}
	}
}

// poll asks a hub for decisions while requests wait there.
func (a *asking) poll(ctx context.Context, to fleet.Node) {
	for {
		drops, ok := a.waits(to.Name)
		if !ok || ctx.Err() != nil {
			return
		}
		d, err := a.cfg.place(to.Address, hub.News{Node: a.cfg.node, Run: a.cfg.run, WaitMS: askWait.Milliseconds()})
		a.polled(to.Name, d, err, drops)
	}
}

// polled takes in the answer to a wait for decisions.
func (a *asking) polled(from string, d hub.Decisions, err error, drops int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drops != drops {
		// The instance has spoken to the hub anew, and the answer may hold decisions on requests of that time.
		a.drop(time.Now(), 0)
		return
	}
	a.take(from, d, err)
}

// waits reports whether to go on polling a hub, and how often what was on its way had become void before.
func (a *asking) waits(at string) (drops int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.polling = a.hub == at && len(a.asks) > 0
	return a.drops, a.polling
}
