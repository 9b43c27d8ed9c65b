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

// TestHomeDies guards against a pool that stays without a home, and against work that runs twice at the change.
func TestHomeDies(t *testing.T) {
	c := start(t, 4)
	l := c.load(1, 6, 3)
	l.progress(t, "service before the failure", 50)
	for range 2 { // The same failure twice.
		n := c.homeOf(ModelPool)
		c.Remove(n).Kill()
		eventually(t, "a new home", func() bool { m := c.homeOf(ModelPool); return m >= 0 && m != n })
		l.progress(t, "service after the failure", 50)
		assert.NilError(t, c.Start(n))
	}
	l.end(t)
}

// TestEntryInstanceDies guards against permits that are lost with their entry instance, and against a keyed request that
// runs again through another one.
func TestEntryInstanceDies(t *testing.T) {
	c := start(t, 4)
	l := c.load(2, 6, 3)
	l.progress(t, "service before the failure", 50)
	for n := range c.Instances() {
		if n == c.homeOf(ModelPool) || n == c.homeOf(ServicePool) {
			continue
		}
		c.Remove(n).Kill()
		l.progress(t, "service after the failure", 50)
		assert.NilError(t, c.Start(n))
	}
	l.end(t)
}

// TestStoreOutage guards against a store outage that ends service or the rights of the homes.
func TestStoreOutage(t *testing.T) {
	c := start(t, 4)
	l := c.load(3, 6, 3)
	l.progress(t, "service before the outage", 50)
	home := c.homeOf(ModelPool)
	c.Store.SetFaults(etcd.Faults{Down: true})
	eventually(t, "a home by consent", func() bool {
		return c.Instance(home).State().Pools[ModelPool].Mode == "consent"
	})
	l.progress(t, "service during the outage", 300)
	assert.Equal(t, c.homeOf(ModelPool), home)
	assert.ErrorContains(t, c.Submit("frozen", func(d operator.Document) operator.Document { return d }), "store")
	c.Store.SetFaults(etcd.Faults{})
	eventually(t, "a home by the store", func() bool {
		return c.Instance(home).State().Pools[ModelPool].Mode == "home"
	})
	l.progress(t, "service after the outage", 100)
	l.end(t)
}

// TestStoreOutageAndHomeDies guards against two faults at once: no second home may arise, and service goes on with
// static shares and returns to normal with the store.
func TestStoreOutageAndHomeDies(t *testing.T) {
	c := start(t, 4)
	client := NewClient()
	l := c.load(4, 6, 0)
	l.progress(t, "warm engines", 300)
	home := c.homeOf(ModelPool)
	c.awaitCandidates(t, home)
	c.Store.SetFaults(etcd.Faults{Down: true})
	c.Remove(home).Kill()
	c.awaitStatic(t)
	eventually(t, "a request without a key", func() bool {
		i := c.Instance((home + 1) % c.Instances())
		a, err := client.Complete(Completion{Address: i.CallerAddress(), Key: "key-bridal", Model: "sizing", Prompt: "unkeyed", Tokens: 4})
		return err == nil && a.Whole
	})
	c.Store.SetFaults(etcd.Faults{})
	eventually(t, "a new home", func() bool { return c.homeOf(ModelPool) >= 0 })
	l.progress(t, "service after the outage", 100)
	l.end(t)
}

// TestKeyAfterLostHome guards against a repeated key that is refused as not run while its first attempt has run at an
// instance that is gone.
func TestKeyAfterLostHome(t *testing.T) {
	c := start(t, 4)
	client := NewClient()
	l := c.load(4, 6, 0)
	l.progress(t, "warm engines", 100)
	home := c.homeOf(ModelPool)
	c.awaitCandidates(t, home)
	r := Completion{
		Address: c.Instance(home).CallerAddress(), Key: "key-bridal", Model: "sizing", Prompt: "repeated", Tokens: 2000,
		Unique: fmt.Sprintf("%d-repeated", time.Now().Unix()),
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
	assert.Assert(t, a.Retry != "", "no time to come back was told")
	l.end(t)
}

// TestLostAnswers guards against a submission that is applied twice or reported as failed, and against claims that are
// granted without being in the store, when answers are lost after the write took effect.
func TestLostAnswers(t *testing.T) {
	c := start(t, 4)
	l := c.load(5, 6, 3)
	before := c.Revision()
	for n := range 5 {
		c.Store.SetFaults(etcd.Faults{LoseAnswer: 2})
		id := string(rune('a' + n))
		assert.NilError(t, c.Submit(id, func(d operator.Document) operator.Document {
			return d.WithTeam(d.Teams[0].WithWeight(float64(n + 2)))
		}))
	}
	assert.Equal(t, c.Revision(), before+5)
	l.progress(t, "service with lost answers", 100)
	l.end(t)
	eventually(t, "the configuration everywhere", func() bool {
		for n := range c.Instances() {
			if c.Instance(n).State().Revision != before+5 {
				return false
			}
		}
		return true
	})
}

// TestOperatorsRace guards against two submissions that are both accepted on the same base.
func TestOperatorsRace(t *testing.T) {
	c := start(t, 1)
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

// TestAllInstancesReplaced guards against state that is lost when every instance is replaced, one by one and all at once.
func TestAllInstancesReplaced(t *testing.T) {
	c := start(t, 3)
	assert.NilError(t, c.Submit("change", func(d operator.Document) operator.Document {
		return d.WithTeam(d.Teams[0].WithWeight(7))
	}))
	l := c.load(6, 4, 2)
	for n := range c.Instances() {
		i := c.Instance(n)
		assert.Assert(t, i.Stop(patience), "a planned stop cut off an answer")
		c.Remove(n)
		assert.NilError(t, c.Start(n))
		eventually(t, "the instance ready", c.Instance(n).Ready)
		l.progress(t, "service after a replacement", 30)
	}
	for _, s := range l.end(t) {
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
	assert.NilError(t, c.WaitReady(patience))
	assert.Equal(t, c.Instance(0).State().Revision, c.Revision())
	l = c.load(7, 4, 2)
	l.progress(t, "service after all were replaced", 50)
	l.end(t)
}

// TestHomeIsCutOff guards against a home that goes on granting while another one has taken over.
func TestHomeIsCutOff(t *testing.T) {
	c := start(t, 4)
	l := c.load(8, 6, 3)
	l.progress(t, "service before the cut", 50)
	n := c.homeOf(ModelPool)
	c.Cut(n, true)
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
	l.progress(t, "service during the cut", 50)
	c.Cut(n, false)
	l.progress(t, "service after the cut", 50)
	l.end(t)
}

// TestStreamBreaks guards against an answer that is cut or starts anew when the connection to the engine breaks.
func TestStreamBreaks(t *testing.T) {
	c := start(t, 1)
	for _, e := range c.Engines {
		e.SetFaults(engine.Faults{BreakAt: 3})
	}
	l := c.load(9, 6, 0)
	l.progress(t, "answers over broken connections", 100)
	l.end(t)
}

// TestRefusedBeforeAdmission guards against a refusal before admission that is not tried elsewhere.
func TestRefusedBeforeAdmission(t *testing.T) {
	c := start(t, 1)
	l := c.load(10, 6, 0)
	l.progress(t, "warm engines", 100)
	c.Engines[0].SetFaults(engine.Faults{Refuse: true})
	l.progress(t, "service with an engine that refuses", 200)
	for _, s := range l.end(t) {
		assert.Equal(t, s.answer.Status, 200, "%s", s.answer.Type)
	}
}

// TestVersionIsLoaded guards against an engine that is left on another version than configured.
func TestVersionIsLoaded(t *testing.T) {
	c := start(t, 2)
	name := c.Document().BackendServers[0].Name
	assert.NilError(t, c.Submit("v2", func(d operator.Document) operator.Document {
		return d.WithBackendServer(d.BackendServers[0].WithVersion("v2"))
	}))
	eventually(t, "the version loaded by "+name, func() bool { return c.Engines[0].Version() == "v2" })
}

// TestRollout guards against a good version that does not take over by its deadline, and against a bad one that stays.
func TestRollout(t *testing.T) {
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
			c := start(t, 2)
			l := c.load(11, 12, 0)
			l.progress(t, "warm engines", 500)
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
				time.Sleep(time.Second) // Requests that were granted before end meanwhile.
				before := c.admittedFrom(from)
				l.progress(t, "service after the rollback", 200)
				assert.Equal(t, c.admittedFrom(from), before, "requests reached the version after its rollback")
			}
			l.end(t)
		})
	}
}
