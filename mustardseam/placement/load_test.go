package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loadKind is a kind of streams in a played load.
type loadKind struct {
	tier       int
	objective  time.Duration
	deadline   time.Duration
	gap        time.Duration
	firstEvent time.Duration // Time to the first event at an idle engine.
	service    time.Duration // Time that a request occupies a slot, on average.
	perSecond  float64       // Arrivals per second at the usual load.
}

// loadKinds are those of the day on which refusals cost callers most.
var loadKinds = []loadKind{
	{0, 800 * time.Millisecond, 12 * time.Second, 200 * time.Millisecond, 120 * time.Millisecond, 700 * time.Millisecond, 30},
	{1, 1200 * time.Millisecond, 6 * time.Second, 250 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 20},
	{2, 1500 * time.Millisecond, 15 * time.Second, 250 * time.Millisecond, 150 * time.Millisecond, 900 * time.Millisecond, 20},
}

const (
	loadTick  = 5 * time.Millisecond
	loadSlots = 70 // At the usual load, 80 % of them are in use.
	// loadSlowdown is the factor by which first events take longer at engines that run other streams.
	loadSlowdown = 1.5
	burstFrom    = 6 * time.Second
	burstTo      = 16 * time.Second
	loadEnd      = 24 * time.Second // No request arrives after it.
)

// admission is a way of deciding on requests, played by loadPlay.
type admission interface {
	// arrive refuses, places or queues a job.
	arrive(now time.Time, j *Job, try func(*Job) bool) *Refusal
	expired(now time.Time) []expiredJob
	withdraw(j *Job)
	place(now time.Time, try func(*Job) bool)
}

// expiredJob is a job that waited until its limit.
type expiredJob struct {
	job     *Job
	refusal *Refusal
}

// call is the state of one request over the two attempts of its caller.
type call struct {
	kind      *loadKind
	arrived   time.Time
	job       *Job // Latest attempt.
	attempts  int
	waiting   bool
	held      time.Duration // Time for which it waited.
	outcome   string
	firstAt   time.Time
	ends      time.Time
	serviceOf time.Duration
}

// loadPlay plays a load against an admission in steps of loadTick.
type loadPlay struct {
	admission admission
	calls     []*call
	byJob     map[*Job]*call
	returns   map[time.Duration][]*call // By tick.
	table     ReturnTable
	useTable  bool
	running   []*call
	waiting   []*call
}

// factorAt returns the load at a time as a multiple of the usual load.
func factorAt(at, burst float64) float64 {
	if at >= burstFrom.Seconds() && at < burstTo.Seconds() {
		return burst
	}
	return 1
}

// play plays a load with a burst of the given factor.
func (p *loadPlay) play(seed uint64, burst, after float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	p.byJob, p.returns = map[*Job]*call{}, map[time.Duration][]*call{}
	for at := time.Duration(0); at < loadEnd+20*time.Second; at += loadTick {
		now := start.Add(at)
		p.advance(now)
		for _, c := range p.returns[at] {
			p.attempt(now, c)
		}
		for i := range loadKinds {
			k := &loadKinds[i]
			rate := k.perSecond * factorAt(at.Seconds(), burst)
			if at >= burstTo {
				rate = k.perSecond * after
			}
			if at < loadEnd && rnd.Float64() < rate*loadTick.Seconds() {
				c := &call{kind: k, arrived: now, serviceOf: time.Duration((0.5 + rnd.Float64()) * float64(k.service))}
				p.calls = append(p.calls, c)
				p.attempt(now, c)
			}
		}
		for _, e := range p.admission.expired(now) {
			p.refused(now, p.byJob[e.job], e.refusal)
		}
		p.admission.place(now, func(j *Job) bool { return p.start(now, p.byJob[j]) })
	}
}

// attempt makes the next attempt of a call.
func (p *loadPlay) attempt(now time.Time, c *call) {
	c.attempts++
	c.job = &Job{
		Tier: c.kind.tier, Gap: c.kind.gap, Arrived: now, Objective: now.Add(c.kind.objective), Deadline: c.arrived.Add(c.kind.deadline),
		FirstEvent: c.kind.firstEvent, ServiceTime: c.kind.service,
	}
	if p.useTable && c.attempts > 1 {
		if r, ok := p.table.Take(now, p.fingerprint(c)); ok {
			c.job = c.job.WithReturn(r.FirstArrival)
		}
	}
	p.byJob[c.job] = c
	started := false
	r := p.admission.arrive(now, c.job, func(*Job) bool {
		started = p.start(now, c)
		return started
	})
	switch {
	case r != nil:
		p.refused(now, c, r)
	case !started:
		c.waiting = true
		p.waiting = append(p.waiting, c)
	}
}

func (p *loadPlay) fingerprint(c *call) uint64 {
	return uint64(c.arrived.UnixNano())<<2 + uint64(c.kind.tier) + 1
}

// refused makes a call return after a refusal, if it was the first one.
func (p *loadPlay) refused(now time.Time, c *call, r *Refusal) {
	if c.waiting {
		c.held += now.Sub(c.job.Arrived)
		c.waiting = false
	}
	if c.attempts > 1 || float64(r.RetryAfter) > float64(c.job.Deadline.Sub(now))*maxRetryAfterFraction+1 {
		c.outcome = "refused"
		return
	}
	if p.useTable {
		p.table.Add(now, p.fingerprint(c), NewReturn(now, c.arrived, r.RetryAfter))
	}
	at := (now.Sub(start) + r.RetryAfter + 2*loadTick).Truncate(loadTick)
	p.returns[at] = append(p.returns[at], c)
}

// start runs a call if a slot is free.
func (p *loadPlay) start(now time.Time, c *call) bool {
	if len(p.running) >= loadSlots {
		return false
	}
	if c.waiting {
		c.held += now.Sub(c.job.Arrived)
		c.waiting = false
	}
	c.firstAt = now.Add(time.Duration(loadSlowdown * float64(c.kind.firstEvent)))
	c.ends = now.Add(c.serviceOf)
	p.running = append(p.running, c)
	return true
}

// advance ends the calls that are over and those whose callers leave.
func (p *loadPlay) advance(now time.Time) {
	p.running = slices.DeleteFunc(p.running, func(c *call) bool {
		if now.Before(c.ends) && now.Before(c.arrived.Add(c.kind.deadline)) {
			return false
		}
		switch {
		case now.Before(c.ends):
			c.outcome = "cut"
		case c.firstAt.Sub(c.job.Arrived) > c.patience():
			c.outcome = "left"
		case c.firstAt.Sub(c.arrived) <= c.kind.objective:
			c.outcome = "in-time"
		default:
			c.outcome = "late"
		}
		return true
	})
	p.waiting = slices.DeleteFunc(p.waiting, func(c *call) bool { return !c.waiting })
	for _, c := range p.waiting {
		if now.Sub(c.job.Arrived) >= c.patience() || !now.Before(c.job.Deadline) {
			c.held += now.Sub(c.job.Arrived)
			c.waiting, c.outcome = false, "left"
			p.admission.withdraw(c.job)
		}
	}
}

// patience returns the time after which the caller leaves without an event.
func (c *call) patience() time.Duration { return max(2*time.Second, 4*c.kind.objective, 8*c.kind.gap) }

// tally counts the outcomes of the calls of a tier.
type tally struct {
	calls, inTime, late, refused, left, cut int
	heldUnserved                            time.Duration
}

func (y tally) served() float64 { return float64(y.inTime+y.late) / float64(max(1, y.calls)) }

// value is what the calls are worth: a late one is worth 0.3 of one in time.
func (y tally) value() float64 {
	return (float64(y.inTime) + 0.3*float64(y.late)) / float64(max(1, y.calls))
}

func (y tally) String() string {
	return fmt.Sprintf("calls %5d  in time %5d  late %5d  refused %4d  left %4d  cut %4d  served %.3f  value %.3f  held unserved %.0f s",
		y.calls, y.inTime, y.late, y.refused, y.left, y.cut, y.served(), y.value(), y.heldUnserved.Seconds())
}

// tallies returns the outcomes by tier, and last those of all calls.
func (p *loadPlay) tallies() []tally {
	list := make([]tally, len(loadKinds)+1)
	for _, c := range p.calls {
		for _, y := range []*tally{&list[c.kind.tier], &list[len(loadKinds)]} {
			y.calls++
			switch c.outcome {
			case "in-time":
				y.inTime++
				continue
			case "late":
				y.late++
				continue
			case "refused":
				y.refused++
			case "left":
				y.left++
			case "cut":
				y.cut++
			}
			y.heldUnserved += c.held
		}
	}
	return list
}

// presentAdmission decides by the queue of this package.
type presentAdmission struct {
	queue   Queue
	entries map[*Job]*Waiting
}

func (a *presentAdmission) arrive(now time.Time, j *Job, try func(*Job) bool) *Refusal {
	if wait, known := a.queue.PredictWait(now, j); known && wait == 0 && try(j) {
		return nil
	}
	if r := a.queue.RefuseLate(now, j); r != nil {
		return r
	}
	w := &Waiting{Job: j, PlaceBy: j.PlaceBy()}
	a.entries[j] = w
	a.queue.Add(now, w)
	return nil
}

func (a *presentAdmission) expired(now time.Time) (list []expiredJob) {
	for _, w := range a.queue.RemoveExpired(now) {
		delete(a.entries, w.Job)
		list = append(list, expiredJob{w.Job, a.queue.RefuseExpired(now, w.Job)})
	}
	return list
}

func (a *presentAdmission) withdraw(j *Job) {
	if w := a.entries[j]; w != nil {
		a.queue.Remove(w)
		delete(a.entries, j)
	}
}

func (a *presentAdmission) place(now time.Time, try func(*Job) bool) {
	a.queue.Place(now, func(string) int { return 0 }, func(w *Waiting) (placed, more bool) {
		if !try(w.Job) {
			return false, false
		}
		delete(a.entries, w.Job)
		return true, true
	})
}

// formerAdmission decides as the queue did before callers' places were kept: a wait of half of the patience, refusals by the
// number of waiting jobs, and order by tier, lateness and arrival. It is the reference of the comparison.
type formerAdmission struct {
	waiting    []*Job
	throughput throughput
}

func (a *formerAdmission) placeBy(j *Job) time.Time {
	limit := min(j.Deadline.Sub(j.Arrived), max(minPatience, patienceObjectives*j.Objective.Sub(j.Arrived), patienceGaps*j.Gap))
	return j.Arrived.Add(limit / 2)
}

func (a *formerAdmission) predict(now time.Time, j *Job) (time.Duration, bool) {
	ahead := 0
	for _, w := range a.waiting {
		if w.Tier <= j.Tier {
			ahead++
		}
	}
	if ahead == 0 {
		return 0, true
	}
	perSecond, known := a.throughput.perSecond(now, true)
	return seconds(float64(ahead) / perSecond), known
}

func (a *formerAdmission) retryAfter(now time.Time, j *Job, after time.Duration) time.Duration {
	return max(0, min(max(after, minRetryAfter), j.Deadline.Sub(now)/3))
}

func (a *formerAdmission) arrive(now time.Time, j *Job, try func(*Job) bool) *Refusal {
	wait, known := a.predict(now, j)
	if known && wait == 0 && try(j) {
		return nil
	}
	if known && !now.Add(wait).Before(a.placeBy(j)) {
		return &Refusal{RetryAfter: a.retryAfter(now, j, wait)}
	}
	a.throughput.observe(now, 0, len(a.waiting) > 0)
	a.waiting = append(a.waiting, j)
	return nil
}

func (a *formerAdmission) expired(now time.Time) (list []expiredJob) {
	a.waiting = slices.DeleteFunc(a.waiting, func(j *Job) bool {
		if now.Before(a.placeBy(j)) {
			return false
		}
		list = append(list, expiredJob{job: j})
		return true
	})
	for i, e := range list {
		wait, known := a.predict(now, e.job)
		if !known {
			wait = minRetryAfter
		}
		list[i].refusal = &Refusal{RetryAfter: a.retryAfter(now, e.job, max(wait, now.Sub(e.job.Arrived)))}
	}
	return list
}

func (a *formerAdmission) withdraw(j *Job) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Job) bool { return w == j })
}

func (a *formerAdmission) place(now time.Time, try func(*Job) bool) {
	if len(a.waiting) == 0 {
		return
	}
	slices.SortStableFunc(a.waiting, func(x, y *Job) int {
		if x.Tier != y.Tier {
			return x.Tier - y.Tier
		}
		if lx, ly := now.After(x.Objective), now.After(y.Objective); lx != ly {
			if lx {
				return 1
			}
			return -1
		}
		return x.Arrived.Compare(y.Arrived)
	})
	placed := 0
	for placed < len(a.waiting) && try(a.waiting[placed]) {
		placed++
	}
	a.waiting = slices.Delete(a.waiting, 0, placed)
	a.throughput.observe(now, float64(placed), true)
}

// TestBurstServesMoreThanBefore guards against an admission under which callers are refused twice while engines are free soon
// afterwards, and against a kind that starves. The reference is the former admission on the same load.
func TestBurstServesMoreThanBefore(t *testing.T) {
	tests := []struct {
		name     string
		burst    float64 // Load of the burst as a multiple of the usual load.
		after    float64 // Load after it.
		allServe bool    // No request may be lost.
	}{
		{"no burst", 1, 1, true},
		{"slight", 1.3, 1, true},
		{"double", 2, 1, false},
		{"double, then half", 2, 0.5, true},
		{"double, then none", 2, 0, true},
		{"triple, then half", 3, 0.5, false},
		{"fourfold, then half", 4, 0.5, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := &loadPlay{admission: &presentAdmission{entries: map[*Job]*Waiting{}}, useTable: true}
			now.play(42, test.burst, test.after)
			former := &loadPlay{admission: &formerAdmission{}}
			former.play(42, test.burst, test.after)
			n, f := now.tallies(), former.tallies()
			for i := range n {
				t.Logf("tier %d now    %v", i, n[i])
				t.Logf("tier %d former %v", i, f[i])
			}
			all, before := n[len(loadKinds)], f[len(loadKinds)]
			assert.Equal(t, all.calls, before.calls)
			assert.Assert(t, all.value() >= before.value())
			assert.Assert(t, all.served() >= before.served())
			if test.allServe {
				assert.Equal(t, all.inTime+all.late, all.calls)
			}
			for i := range loadKinds {
				assert.Assert(t, n[i].served() >= f[i].served(), "tier %d", i)
				assert.Assert(t, n[i].served() >= all.served()/4, "tier %d starves", i)
			}
		})
	}
}
