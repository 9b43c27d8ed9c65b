package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWholePath guards against a request that does not find its way to an engine and back through any instance.
func TestWholePath(t *testing.T) {
	c, err := New(Config{Site: Qasr()})
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.WaitReady(15*time.Second))
	client := NewClient()
	for n := range c.Instances() {
		addr := c.Instance(n).CallerAddress()
		a, err := client.Complete(Completion{Address: addr, Key: "key-bridal", Model: "sizing", Prompt: "size a glove", Tokens: 5, Plain: n%2 == 0})
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200, "%s", a.Type)
		assert.Assert(t, a.Whole, "got %q", a.Text)
	}
}

// TestRepeatAfterAnswer guards against a key that is repeated right after its answer, at another instance, and refused as
// still running, since the outcome has not reached the home yet.
func TestRepeatAfterAnswer(t *testing.T) {
	c := start(t, 4)
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
