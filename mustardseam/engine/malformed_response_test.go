package engine

import (
	"testing"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112/rfc9112test"
)

// TestMalformedResponseIsAnError guards against a response that breaks the grammar of HTTP and that the client takes for a success.
func TestMalformedResponseIsAnError(t *testing.T) {
	c := New(Config{PollTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
	defer c.Close()
	rfc9112test.Check(t, "{}", func(addr string) error { return c.SendOrder(addr, Order{}) })
	rfc9112test.Check(t, "{}", func(addr string) error {
		_, err := c.LoadReport("e", addr)
		return err
	})
}
