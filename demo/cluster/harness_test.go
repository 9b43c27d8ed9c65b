package cluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	// patience bounds every wait of the tests; it is far above what any of them needs, so that a busy machine does not
	// change a verdict.
	patience = 60 * time.Second
	poll     = 20 * time.Millisecond
)

// start returns a ready cluster of n instances that ends with the test.
func start(t *testing.T, n int) *Cluster {
	t.Helper()
	log := zerolog.Nop()
	if os.Getenv("MUSTARDSEAM_TEST_LOG") != "" {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger().Level(zerolog.InfoLevel)
	}
	c, err := New(Config{Site: Qasr(), Instances: n, Log: log})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	t.Cleanup(func() {
		if t.Failed() {
			c.explain(t)
		}
	})
	assert.NilError(t, c.WaitReady(patience))
	return c
}

// explain logs the part of every instance in every pool.
func (c *Cluster) explain(t *testing.T) {
	for n := range c.Instances() {
		i := c.Instance(n)
		if i == nil {
			t.Logf("instance %d is not running", n)
			continue
		}
		s := i.State()
		for name, p := range s.Pools {
			t.Logf("instance %d pool %s: mode %s, serving %d, asks %d, started %d, record %+v",
				n, name, p.Mode, p.Serving, p.Asks, p.Started, p.Record)
		}
	}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(poll) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen within %s", what, patience)
		}
	}
}

// homeOf returns the number of the instance that may grant as home of the pool, -1 when there is none.
func (c *Cluster) homeOf(pool string) int {
	for n := range c.Instances() {
		if i := c.Instance(n); i != nil {
			if m := i.State().Pools[pool].Mode; m == "home" || m == "consent" {
				return n
			}
		}
	}
	return -1
}

// awaitCandidates waits until the record of the models' home names all instances as candidates.
func (c *Cluster) awaitCandidates(t *testing.T, home int) {
	t.Helper()
	eventually(t, "a record with all candidates", func() bool {
		return len(c.Instance(home).State().Pools[ModelPool].Record.Candidates) == c.Instances()
	})
}

// awaitStatic waits until all running instances serve models by static shares.
func (c *Cluster) awaitStatic(t *testing.T) {
	t.Helper()
	eventually(t, "static shares", func() bool {
		for n := range c.Instances() {
			if i := c.Instance(n); i != nil && i.State().Pools[ModelPool].Mode != "static" {
				return false
			}
		}
		return true
	})
}

// callers send requests until they are stopped and keep what became of them.
type callers struct {
	cluster *Cluster
	stop    chan struct{}
	wg      conc.WaitGroup

	mu      sync.Mutex
	answers []sent // Guarded by mu.
}

// sent is one request and its answer.
type sent struct {
	order    bool
	id       string // As in Executions.
	instance int
	answer   Answer
	err      error
}

// load starts callers of model requests and orders.
func (c *Cluster) load(seed uint64, models, orders int) *callers {
	l := &callers{cluster: c, stop: make(chan struct{})}
	client := NewClient()
	for n := range models + orders {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		l.wg.Go(func() {
			for !l.stopped() {
				l.one(client, r, n >= models)
			}
		})
	}
	return l
}

func (l *callers) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// one sends a request through a random live instance; an order whose answer is lost or refused is sent again once with
// the same key, as a caller does.
func (l *callers) one(client *Client, r *rand.Rand, order bool) {
	unique := fmt.Sprintf("%d-%x", time.Now().Unix(), r.Uint64())
	prompt := fmt.Sprintf("request %x", r.Uint64())
	for range 2 {
		n := r.IntN(l.cluster.Instances())
		i := l.cluster.Instance(n)
		if i == nil || !i.Ready() { // As the balancer does.
			time.Sleep(poll)
			continue
		}
		s := sent{order: order, instance: n, id: "tag " + Tag(prompt)}
		if order {
			s.id = "order " + unique
			s.answer, s.err = client.Order(i.CallerAddress(), "key-leather", "leather", unique, 0)
		} else {
			s.answer, s.err = client.Complete(Completion{
				Address: i.CallerAddress(), Key: "key-bridal", Model: "sizing", Prompt: prompt, Tokens: 10, Unique: unique,
			})
		}
		l.mu.Lock()
		l.answers = append(l.answers, s)
		l.mu.Unlock()
		if s.err == nil && s.answer.Status == 200 {
			return
		}
	}
}

// whole returns how many whole answers have come so far.
func (l *callers) whole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.answers {
		if s.err == nil && s.answer.Whole {
			n++
		}
	}
	return n
}

// progress waits until n more whole answers have come.
func (l *callers) progress(t *testing.T, what string, n int) {
	t.Helper()
	goal := l.whole() + n
	eventually(t, what, func() bool { return l.whole() >= goal })
}

// end stops the callers and checks what must hold whatever happened: nothing ran twice, "not run" was true, and every
// answer with status 200 that did not break off was whole.
func (l *callers) end(t *testing.T) []sent {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	runs := l.cluster.Executions()
	success := map[string]bool{}
	for _, s := range l.answers {
		success[s.id] = success[s.id] || s.answer.Status == 200
	}
	for _, s := range l.answers {
		assert.Assert(t, runs[s.id] <= 1, "%s ran %d times", s.id, runs[s.id])
		if s.err == nil && s.answer.NotRun && !success[s.id] {
			assert.Equal(t, runs[s.id], 0, "%s was refused as not run (%s) but ran", s.id, s.answer.Type)
		}
		if s.err == nil && s.answer.Status == 200 && s.answer.Type == "" {
			assert.Assert(t, s.answer.Whole, "%s got %q", s.id, s.answer.Text)
		}
	}
	return l.answers
}
