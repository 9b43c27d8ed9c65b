package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverInProbation returns a server whose limit was 8 until failures of the given kind put it into probation.
func serverInProbation(t *testing.T, notRun bool) *steppedServer {
	srv := newSteppedServer(Limits{Warm: 8, Cold: 2}, NewClass())
	srv.report(false, 0, 0)
	for range 10 {
		srv.answer(0, Sample{OK: true})
	}
	for range 12 {
		srv.answer(0, Sample{Failed: true, NotRun: notRun})
	}
	assert.Assert(t, srv.InProbation())
	return srv
}

// TestProbationAfterRefusalsEndsWithOneProbe guards against a server that stays in probation long after it accepts
// requests again. It also guards against a server that failed requests which it ran and gets its traffic back just as
// fast.
func TestProbationAfterRefusalsEndsWithOneProbe(t *testing.T) {
	tests := []struct {
		name          string
		notRun        bool
		probeFailures []Sample // Answers to the probes before the good one.
		left          bool
	}{
		{"refused", true, nil, true},
		{"refused again", true, []Sample{{Failed: true, NotRun: true}}, true},
		{"failed", false, nil, false},
		{"failed as a probe", true, []Sample{{Failed: true}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			srv := serverInProbation(t, test.notRun)
			for _, s := range test.probeFailures {
				srv.answer(0, s)
			}
			srv.answer(40*time.Millisecond, Sample{OK: true})
			assert.Equal(t, !srv.InProbation(), test.left)
			if test.left {
				assert.Equal(t, srv.Limit(), 4)
				return
			}
			assert.Equal(t, srv.Limit(), 1)
		})
	}
}

// TestProbeAfterSilence guards against a server that has recovered but waits for the end of a long probe interval. It
// also guards against a server that reports but refuses requests and is probed with every report.
func TestProbeAfterSilence(t *testing.T) {
	srv := serverInProbation(t, true)
	srv.report(false, 0, 0)
	// A report arrives with each outcome, every 2 s.
	refuse := func() {
		srv.answer(0, Sample{Failed: true, NotRun: true})
		srv.now = srv.now.Add(-time.Second)
		srv.report(false, 0, 0)
	}
	for range 6 {
		refuse()
	}
	assert.Equal(t, srv.NextProbe(), srv.now.Add(maxProbeInterval), "there was no silence")
	srv.now = srv.now.Add(silenceTimeout)
	srv.report(false, 0, 0)
	assert.Equal(t, srv.NextProbe(), srv.now)
	refuse()
	assert.Assert(t, srv.NextProbe().After(srv.now), "one probe for each silence")
}
