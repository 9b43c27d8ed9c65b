package entry

import (
	"errors"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

// TestUnsentSamplesStayBounded guards against memory that grows with each report to a hub that does not answer.
func TestUnsentSamplesStayBounded(t *testing.T) {
	r := newReporter(&Instance{logger: zerolog.Nop()})
	for range 10 {
		for range 2 * maxSamples {
			r.addSample(hub.Sample{Service: "pool"})
		}
		report := hub.Report{Samples: r.samples}
		r.samples = nil // The report is sent, and further requests end before it fails.
		for range 2 * maxSamples {
			r.addSample(hub.Sample{Service: "pool"})
		}
		r.reportFailed(fleet.Instance{Name: "hub"}, report, errors.New("no answer"))
		assert.Assert(t, len(r.samples) <= maxSamples, "%d samples", len(r.samples))
	}
}
