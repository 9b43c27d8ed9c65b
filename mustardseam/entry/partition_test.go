package entry

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

// failedReport returns the error of a report to an instance that is down or does not answer.
func failedReport(t *testing.T, down bool) error {
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

// TestPartitionEstimate guards against an instance that is cut off, considers itself the only one and fills all backend
// servers, and against one that reserves room for others that are down.
func TestPartitionEstimate(t *testing.T) {
	start := time.Unix(1000, 0)
	silent, refused := failedReport(t, false), failedReport(t, true)
	tests := []struct {
		name string
		errs []error
		want int
	}{
		{"no report sent", nil, 0},
		{"silent", []error{silent}, 8},
		{"several are silent", []error{silent, silent}, 8},
		{"down", []error{refused}, 0},
		{"silent, then down", []error{silent, refused}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p partition
			for n, err := range test.errs {
				p = p.afterFailure(start, err, 8-n) // Fewer instances are known after the first failure.
			}
			assert.Equal(t, p.count(start), test.want)
			assert.Equal(t, p.count(start.Add(partitionTimeout+1)), 0)
		})
	}
}
