package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestAcceptedFor guards against a stream that is accepted 5.4 s after the stop signal and cut off at the end of a grace
// period of 8 s, and against short requests that are refused too early.
func TestAcceptedFor(t *testing.T) {
	tests := []struct {
		name  string
		kind  fleet.Kind
		grace time.Duration
		after time.Duration
		taken bool
	}{
		{"stream while callers leave", fleet.Stream, 8 * time.Second, 2900 * time.Millisecond, true},
		{"stream after callers left", fleet.Stream, 8 * time.Second, 5400 * time.Millisecond, false},
		{"stream in a short grace period", fleet.Stream, 2 * time.Second, 1100 * time.Millisecond, false},
		{"short request", fleet.Safe, 8 * time.Second, 5400 * time.Millisecond, true},
		{"short request at the end", fleet.Unsafe, 8 * time.Second, 5600 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.after <= acceptedFor(test.kind, test.grace), test.taken)
		})
	}
}
