package cluster

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
	"github.com/mustardseam/mustardseam/standin/engine"
	"github.com/mustardseam/mustardseam/standin/etcd"
)

// TestNewHomeAfterHomeFailure guards against a pool that remains without a home after its home was killed, and against
// requests that run twice during the change.
func TestNewHomeAfterHomeFailure(t *testing.T) {
	c := startCluster(t, 4)
	l := c.startLoad(1, 6, 3)
	l.awaitAnswers(t, "service before the failure", 50)
	for range 2 { // The new home is killed as well.
		n := c.homeOf(ModelPool)
		c.Remove(n).Kill()
		eventually(t, "a new home", func() bool { m := c.homeOf(ModelPool); return m >= 0 && m != n })
		l.awaitAnswers(t, "service after the failure", 50)
		assert.NilError(t, c.Start(n))
	}
	l.stopAndCheck(t)
}

// TestPermitsSurviveEntryInstanceFailure guards against permits that are lost with the instance that holds them, and
// against a request with an idempotency key that runs again through another instance.
func TestPermitsSurviveEntryInstanceFailure(t *testing.T) {
	c := startCluster(t, 4)
	l := c.startLoad(2, 6, 3)
	l.awaitAnswers(t, "service before the failure", 50)
	for n := range c.Instances() {
		if n == c.homeOf(ModelPool) || n == c.homeOf(ServicePool) {
			continue
		}
		c.Remove(n).Kill()
		l.awaitAnswers(t, "service after the failure", 50)
		assert.NilError(t, c.Start(n))
	}
	l.stopAndCheck(t)
}

// TestServiceContinuesDuringStoreOutage guards against a store outage that stops the service or makes homes lose
// their right to grant permits.
func TestServiceContinuesDuringStoreOutage(t *testing.T) {
	c := startCluster(t, 4)
	l := c.startLoad(3, 6, 3)
	l.awaitAnswers(t, "service before the outage", 50)
	home := c.homeOf(ModelPool)
	c.Store.SetFaults(etcd.Faults{Down: true})
	eventually(t, "a home by consent", func() bool {
		return c.Instance(home).State().Pools[ModelPool].Mode == "consent"
	})
	l.awaitAnswers(t, "service during the outage", 300)
	assert.Equal(t, c.homeOf(ModelPool), home)
	assert.ErrorContains(t, c.Submit("frozen", func(d operator.Document) operator.Document { return d }), "store")
	c.Store.SetFaults(etcd.Faults{})
	eventually(t, "a home by the store", func() bool {
		return c.Instance(home).State().Pools[ModelPool].Mode == "home"
	})
	l.awaitAnswers(t, "service after the outage", 100)
	l.stopAndCheck(t)
}

// TestNoSecondHomeWhenStoreAndHomeFail guards against a second home when the store is down and the home is killed. The
// service must continue with static shares and return to normal when the store is back.
func TestNoSecondHomeWhenStoreAndHomeFail(t *testing.T) {
	c := startCluster(t, 4)
	client := NewClient()
	l := c.startLoad(4, 6, 0)
	l.awaitAnswers(t, "warm engines", 300)
	home := c.homeOf(ModelPool)
	c.awaitCandidates(t, home)
	c.Store.SetFaults(etcd.Faults{Down: true})
	c.Remove(home).Kill()
	c.awaitStatic(t)
	eventually(t, "a request without a key", func() bool {
		i := c.Instance((home + 1) % c.Instances())
		a, err := client.Complete(Completion{Address: i.CallerAddress(), Key: "key-bridal", Model: "sizing", Prompt: "unkeyed", MaxOutputTokens: 4})
		return err == nil && a.Complete
	})
	c.Store.SetFaults(etcd.Faults{})
	eventually(t, "a new home", func() bool { return c.homeOf(ModelPool) >= 0 })
	l.awaitAnswers(t, "service after the outage", 100)
	l.stopAndCheck(t)
}

// TestRepeatedKeyNotRefusedAsNotRunAfterHomeLoss guards against a repeated key that is refused as not run although its
// first attempt ran through an instance that has been killed.
func TestRepeatedKeyNotRefusedAsNotRunAfterHomeLoss(t *testing.T) {
	c := startCluster(t, 4)
	client := NewClient()
	l := c.startLoad(4, 6, 0)
	l.awaitAnswers(t, "warm engines", 100)
	home := c.homeOf(ModelPool)
	c.awaitCandidates(t, home)
	r := Completion{
		Address: c.Instance(home).CallerAddress(), Key: "key-bridal", Model: "sizing", Prompt: "repeated", MaxOutputTokens: 2000,
		IdempotencyKey: fmt.Sprintf("%d-repeated", time.Now().Unix()),
	}
	done := make(chan error, 1)
	go func() {
		_, err := client.Complete(r)
		done <- err
	}()
	eventually(t, "the first attempt", func() bool { return c.Executions()["tag "+Tag(r.Prompt)] > 0 })
	c.Store.SetFaults(etcd.Faults{Down: true})
	c.Remove(home).Kill()
	<-done
	c.awaitStatic(t)
	r.Address = c.Instance((home + 1) % c.Instances()).CallerAddress()
	a, err := client.Complete(r)
	assert.NilError(t, err)
	assert.Equal(t, a.Type, "claim-unavailable")
	assert.Assert(t, !a.NotRun, "the key ran %d times", c.Executions()["tag "+Tag(r.Prompt)])
	assert.Assert(t, a.RetryAfter != "", "no time to come back was told")
	l.stopAndCheck(t)
}

// TestLostStoreResponsesApplyOnce guards against a submission that is applied twice or reported as failed, and against
// claims that are granted without being in the store, when the store's response is lost after the write took effect.
func TestLostStoreResponsesApplyOnce(t *testing.T) {
	c := startCluster(t, 4)
	l := c.startLoad(5, 6, 3)
	before := c.Revision()
	for n := range 5 {
		c.Store.SetFaults(etcd.Faults{LoseAnswer: 2})
		id := string(rune('a' + n))
		assert.NilError(t, c.Submit(id, func(d operator.Document) operator.Document {
			return d.WithTeam(d.Teams[0].WithWeight(float64(n + 2)))
		}))
	}
	assert.Equal(t, c.Revision(), before+5)
	l.awaitAnswers(t, "service with lost answers", 100)
	l.stopAndCheck(t)
	eventually(t, "the configuration everywhere", func() bool {
		for n := range c.Instances() {
			if c.Instance(n).State().Revision != before+5 {
				return false
			}
		}
		return true
	})
}

// TestConcurrentSubmissionsConflict guards against the acceptance of two submissions with the same base revision.
func TestConcurrentSubmissionsConflict(t *testing.T) {
	c := startCluster(t, 1)
	base, doc := c.Revision(), c.Document()
	results := make(chan error, 2)
	for _, id := range []string{"left", "right"} {
		go func() {
			results <- c.submitOn(base, id, doc.WithTeam(doc.Teams[0].WithWeight(float64(len(id)))))
		}()
	}
	accepted, conflicts := 0, 0
	for range 2 {
		err := <-results
		var conflict *revision.ConflictError
		switch {
		case err == nil:
			accepted++
		case errors.As(err, &conflict):
			conflicts++
			assert.Equal(t, conflict.Other.Revision, base+1)
		default:
			t.Fatal(err)
		}
	}
	assert.Equal(t, accepted, 1)
	assert.Equal(t, conflicts, 1)
}

// TestStateSurvivesInstanceReplacement guards against the loss of state when all instances are replaced, one by one and
// then all at once.
func TestStateSurvivesInstanceReplacement(t *testing.T) {
	c := startCluster(t, 3)
	assert.NilError(t, c.Submit("change", func(d operator.Document) operator.Document {
		return d.WithTeam(d.Teams[0].WithWeight(7))
	}))
	l := c.startLoad(6, 4, 2)
	for n := range c.Instances() {
		i := c.Instance(n)
		assert.Assert(t, i.Stop(waitTimeout), "a planned stop cut off an answer")
		c.Remove(n)
		assert.NilError(t, c.Start(n))
		eventually(t, "the instance ready", c.Instance(n).Ready)
		l.awaitAnswers(t, "service after a replacement", 30)
	}
	for _, s := range l.stopAndCheck(t) {
		refusedOnce := s.err != nil || s.answer.Type == "draining" || s.answer.Type == "not-ready"
		assert.Assert(t, refusedOnce || s.answer.Status == 200 || s.answer.NotRun || s.answer.Type == "in-progress",
			"got %d %s", s.answer.Status, s.answer.Type)
	}
	for n := range c.Instances() {
		c.Remove(n).Kill()
	}
	for n := range c.Instances() {
		assert.NilError(t, c.Start(n))
	}
	assert.NilError(t, c.WaitReady(waitTimeout))
	assert.Equal(t, c.Instance(0).State().Revision, c.Revision())
	l = c.startLoad(7, 4, 2)
	l.awaitAnswers(t, "service after all were replaced", 50)
	l.stopAndCheck(t)
}

// TestPartitionedHomeStopsGranting guards against a home that is cut off and continues to grant permits after another
// instance has taken over.
func TestPartitionedHomeStopsGranting(t *testing.T) {
	c := startCluster(t, 4)
	l := c.startLoad(8, 6, 3)
	l.awaitAnswers(t, "service before the cut", 50)
	n := c.homeOf(ModelPool)
	c.SetPartitioned(n, true)
	eventually(t, "another home", func() bool {
		for m := range c.Instances() {
			if m != n && c.Instance(m).State().Pools[ModelPool].Mode == "home" {
				return true
			}
		}
		return false
	})
	mode := c.Instance(n).State().Pools[ModelPool].Mode
	assert.Assert(t, mode != "home" && mode != "consent", "the cut off home is in mode %s", mode)
	l.awaitAnswers(t, "service during the cut", 50)
	c.SetPartitioned(n, false)
	l.awaitAnswers(t, "service after the cut", 50)
	l.stopAndCheck(t)
}

// TestStreamResumesAfterConnectionBreak guards against an answer that is truncated or starts again when the connection
// to the engine breaks.
func TestStreamResumesAfterConnectionBreak(t *testing.T) {
	c := startCluster(t, 1)
	for _, e := range c.Engines {
		e.SetFaults(engine.Faults{BreakAt: 3})
	}
	l := c.startLoad(9, 6, 0)
	l.awaitAnswers(t, "answers over broken connections", 100)
	l.stopAndCheck(t)
}

// TestRetryAfterRefusalBeforeAdmission guards against a request that is not retried at another backend server after
// a refusal before admission.
func TestRetryAfterRefusalBeforeAdmission(t *testing.T) {
	c := startCluster(t, 1)
	l := c.startLoad(10, 6, 0)
	l.awaitAnswers(t, "warm engines", 100)
	c.Engines[0].SetFaults(engine.Faults{Refuse: true})
	l.awaitAnswers(t, "service with an engine that refuses", 200)
	for _, s := range l.stopAndCheck(t) {
		assert.Equal(t, s.answer.Status, 200, "%s", s.answer.Type)
	}
}

// TestConfiguredVersionIsLoaded guards against an engine that keeps running another version than the configured one.
func TestConfiguredVersionIsLoaded(t *testing.T) {
	c := startCluster(t, 2)
	name := c.Document().BackendServers[0].Name
	assert.NilError(t, c.Submit("v2", func(d operator.Document) operator.Document {
		return d.WithBackendServer(d.BackendServers[0].WithVersion("v2"))
	}))
	eventually(t, "the version loaded by "+name, func() bool { return c.Engines[0].Version() == "v2" })
}

// TestRolloutCompletesOrRollsBack guards against a good version that does not replace the old one by its deadline,
// and against a bad version that is not rolled back.
func TestRolloutCompletesOrRollsBack(t *testing.T) {
	tests := []struct {
		name   string
		faults engine.Faults
		want   string
	}{
		{"good", engine.Faults{}, "done"},
		{"fails at once", engine.Faults{FailEvery: 1}, "taken-back"},
		{"fails often", engine.Faults{FailEvery: 3}, "taken-back"},
		{"slow at once", engine.Faults{Slow: 8}, "taken-back"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := startCluster(t, 2)
			l := c.startLoad(11, 12, 0)
			l.awaitAnswers(t, "warm engines", 500)
			from := len(c.Engines)
			for n := range 6 {
				e, err := c.AddEngine(n, "v2")
				assert.NilError(t, err)
				e.SetFaults(test.faults)
			}
			now := time.Now()
			assert.NilError(t, c.Submit("roll", func(d operator.Document) operator.Document {
				return d.WithRoute(d.Routes[0].WithRollout(operator.Rollout{
					ID: "r1", To: "v2", CanaryShare: 0.05, Start: now, Deadline: now.Add(10 * time.Second),
				}))
			}))
			eventually(t, "the end of the rollout", func() bool { return c.rolloutState("r1") == test.want })
			if test.want == "taken-back" {
				time.Sleep(time.Second) // Requests that were granted permits before the rollback finish in this time.
				before := c.admittedFrom(from)
				l.awaitAnswers(t, "service after the rollback", 200)
				assert.Equal(t, c.admittedFrom(from), before, "requests reached the version after its rollback")
			}
			l.stopAndCheck(t)
		})
	}
}
