package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEventOrder guards against events that run out of order, which would make runs irreproducible.
func TestEventOrder(t *testing.T) {
	c := &Clock{}
	var got []string
	add := func(name string) func() { return func() { got = append(got, name) } }
	c.After(2*time.Second, add("c"))
	c.After(time.Second, func() {
		got = append(got, "a")
		c.After(-time.Second, add("b"))
	})
	c.At(2*time.Second, add("d"))
	c.Every(3*time.Second, time.Second, func() bool {
		got = append(got, "e")
		return c.Since() < 5*time.Second
	})
	c.Run(time.Minute)
	assert.DeepEqual(t, got, []string{"a", "b", "c", "d", "e", "e", "e"})
	assert.Equal(t, c.Now(), Start.Add(time.Minute))
}
