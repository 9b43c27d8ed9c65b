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
	// waitTimeout limits every wait of the tests. It is far above the time that any of them needs, so that a test does
	// not fail on a busy machine.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// startCluster returns a ready cluster of n instances that is closed at the end of the test.
func startCluster(t *testing.T, n int) *Cluster {
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
			c.logPoolStates(t)
		}
	})
	assert.NilError(t, c.WaitReady(waitTimeout))
	return c
}

// logPoolStates logs the state of every pool at every instance.
func (c *Cluster) logPoolStates(t *testing.T) {
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

// eventually polls the condition and fails the test when it does not hold within waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen within %s", what, waitTimeout)
		}
	}
}

// homeOf returns the index of the instance that may grant permits as home of the pool, or -1 when there is none.
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

// awaitCandidates waits until the home record of the model pool lists all instances as candidates.
func (c *Cluster) awaitCandidates(t *testing.T, home int) {
	t.Helper()
	eventually(t, "a record with all candidates", func() bool {
		return len(c.Instance(home).State().Pools[ModelPool].Record.Candidates) == c.Instances()
	})
}

// awaitStatic waits until all running instances serve the model pool with static shares.
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

// loadGenerator sends requests until it is stopped and records their outcomes.
type loadGenerator struct {
	cluster *Cluster
	stop    chan struct{}
	wg      conc.WaitGroup

	mu       sync.Mutex
	outcomes []outcome // Guarded by mu.
}

// outcome is a request and its answer.
type outcome struct {
	order    bool
	id       string // Key of the request in Executions.
	instance int
	answer   Answer
	err      error
}

// startLoad starts the given numbers of concurrent callers of model requests and of orders.
func (c *Cluster) startLoad(seed uint64, models, orders int) *loadGenerator {
	l := &loadGenerator{cluster: c, stop: make(chan struct{})}
	client := NewClient()
	for n := range models + orders {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		l.wg.Go(func() {
			for !l.stopped() {
				l.sendRequest(client, r, n >= models)
			}
		})
	}
	return l
}

func (l *loadGenerator) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// sendRequest sends a request through a random live instance; a request that fails is sent
// once more with the same key, as a caller does.
func (l *loadGenerator) sendRequest(client *Client, r *rand.Rand, order bool) {
	idempotencyKey := fmt.Sprintf("%d-%x", time.Now().Unix(), r.Uint64())
	prompt := fmt.Sprintf("request %x", r.Uint64())
	for range 2 {
		n := r.IntN(l.cluster.Instances())
		i := l.cluster.Instance(n)
		if i == nil || !i.Ready() { // The platform's load balancer skips such instances, too.
			time.Sleep(pollInterval)
			continue
		}
		s := outcome{order: order, instance: n, id: "tag " + Tag(prompt)}
		if order {
			s.id = "order " + idempotencyKey
			s.answer, s.err = client.Order(i.CallerAddress(), "key-leather", "leather", idempotencyKey, 0)
		} else {
			s.answer, s.err = client.Complete(Completion{
				Address: i.CallerAddress(), Key: "key-bridal", Model: "sizing", Prompt: prompt, MaxOutputTokens: 10, IdempotencyKey: idempotencyKey,
			})
		}
		l.mu.Lock()
		l.outcomes = append(l.outcomes, s)
		l.mu.Unlock()
		if s.err == nil && s.answer.Status == 200 {
			return
		}
	}
}

// completeAnswers returns the number of complete answers received so far.
func (l *loadGenerator) completeAnswers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.outcomes {
		if s.err == nil && s.answer.Complete {
			n++
		}
	}
	return n
}

// awaitAnswers waits until n more complete answers have been received.
func (l *loadGenerator) awaitAnswers(t *testing.T, what string, n int) {
	t.Helper()
	goal := l.completeAnswers() + n
	eventually(t, what, func() bool { return l.completeAnswers() >= goal })
}

// stopAndCheck stops the callers and checks the invariants that hold under any fault: no request ran twice, a request
// that was refused as not run did not run, and every answer with status 200 that did not end with an error was
// complete.
func (l *loadGenerator) stopAndCheck(t *testing.T) []outcome {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	runs := l.cluster.Executions()
	success := map[string]bool{}
	for _, s := range l.outcomes {
		success[s.id] = success[s.id] || s.answer.Status == 200
	}
	for _, s := range l.outcomes {
		assert.Assert(t, runs[s.id] <= 1, "%s ran %d times", s.id, runs[s.id])
		if s.err == nil && s.answer.NotRun && !success[s.id] {
			assert.Equal(t, runs[s.id], 0, "%s was refused as not run (%s) but ran", s.id, s.answer.Type)
		}
		if s.err == nil && s.answer.Status == 200 && s.answer.Type == "" {
			assert.Assert(t, s.answer.Complete, "%s got %q", s.id, s.answer.Text)
		}
	}
	return l.outcomes
}
