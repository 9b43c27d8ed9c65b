package entry

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

// report returns the error of a report to an instance that is down, or one that is silent.
func report(t *testing.T, down bool) error {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if down {
		assert.NilError(t, ln.Close())
	} else {
		t.Cleanup(func() { _ = ln.Close() })
	}
	_, err = hub.NewClient().Report(ln.Addr().String(), hub.Report{Revision: 1})
	assert.Assert(t, err != nil)
	return err
}

// TestSilence guards against an instance that is cut off, takes itself for the only one and fills all backend servers, and
// against one that leaves room for others that are down.
func TestSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	silent, refused := report(t, false), report(t, true)
	tests := []struct {
		name string
		errs []error
		want int
	}{
		{"nobody was asked", nil, 0},
		{"silent", []error{silent}, 8},
		{"more are silent", []error{silent, silent}, 8},
		{"down", []error{refused}, 0},
		{"silent, then down", []error{silent, refused}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s silence
			for n, err := range test.errs {
				s = s.after(start, err, 8-n) // Fewer are known once the first one is not heard.
			}
			assert.Equal(t, s.count(start), test.want)
			assert.Equal(t, s.count(start.Add(silenceTime+1)), 0)
		})
	}
}
