package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestThroughEveryInstance guards against an instance that cannot forward a request to an engine and return the
// answer.
func TestRequestThroughEveryInstance(t *testing.T) {
	c, err := New(Config{Site: Qasr()})
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.WaitReady(15*time.Second))
	client := NewClient()
	for n := range c.Instances() {
		addr := c.Instance(n).CallerAddress()
		a, err := client.Complete(Completion{Address: addr, Key: "key-bridal", Model: "sizing", Prompt: "size a glove", MaxOutputTokens: 5, NonStreaming: n%2 == 0})
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200, "%s", a.Type)
		assert.Assert(t, a.Complete, "got %q", a.Text)
	}
}

// TestRepeatedKeyBeforeHomeHasOutcome guards against the refusal of a key as still running when it is repeated at
// another instance right after its answer, before the outcome has reached the home.
func TestRepeatedKeyBeforeHomeHasOutcome(t *testing.T) {
	c := startCluster(t, 4)
	client := NewClient()
	for n := range 40 {
		key := fmt.Sprintf("%d-repeat-%d", time.Now().Unix(), n)
		for attempt := range 2 {
			i := c.Instance((n + attempt) % c.Instances())
			a, err := client.Order(i.CallerAddress(), "key-leather", "leather", key, 0)
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200, "attempt %d of %s: %s", attempt, key, a.Type)
			assert.Equal(t, a.Replayed, attempt == 1)
		}
		assert.Equal(t, c.Executions()["order "+key], 1)
	}
}
