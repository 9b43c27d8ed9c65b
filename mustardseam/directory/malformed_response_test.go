package directory

import (
	"testing"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112/rfc9112test"
)

// TestMalformedResponseIsAnError guards against a response that breaks the grammar of HTTP and that the client takes for a success.
func TestMalformedResponseIsAnError(t *testing.T) {
	rfc9112test.Check(t, `[]`, func(addr string) error {
		_, err := New(addr).Instances()
		return err
	})
	rfc9112test.Check(t, `{}`, func(addr string) error {
		_, err := New(addr).RequestWeights("w")
		return err
	})
}
