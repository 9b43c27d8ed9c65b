package cluster

import (
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
