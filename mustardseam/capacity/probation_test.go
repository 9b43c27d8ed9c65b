package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusing returns a server in probation whose last failures were of the given kind, at a limit of 8 before.
func refusing(t *testing.T, notRun bool) *bench {
	b := newBench(Limits{Warm: 8, Cold: 2}, NewClass())
	b.report(false, 0, 0)
	for range 10 {
		b.answer(0, Sample{OK: true})
	}
	for range 12 {
		b.answer(0, Sample{Failed: true, NotRun: notRun})
	}
	assert.Assert(t, b.Probation())
	return b
}

// TestRefusedProbation guards against a server that stays in probation long after it takes requests again, and against
// one that failed requests which it ran and gets its traffic back as fast.
func TestRefusedProbation(t *testing.T) {
	tests := []struct {
		name   string
		notRun bool
		bad    []Sample // Answers of probes before the good one.
		left   bool
	}{
		{"refused", true, nil, true},
		{"refused again", true, []Sample{{Failed: true, NotRun: true}}, true},
		{"failed", false, nil, false},
		{"failed as a probe", true, []Sample{{Failed: true}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := refusing(t, test.notRun)
			for _, s := range test.bad {
				b.answer(0, s)
			}
			b.answer(40*time.Millisecond, Sample{OK: true})
			assert.Equal(t, !b.Probation(), test.left)
			if test.left {
				assert.Equal(t, b.Limit(), 4)
				return
			}
			assert.Equal(t, b.Limit(), 1)
		})
	}
}

// TestReachableAgain guards against a server that waits for the end of a long probe interval after it has come back,
// and against probes with every report of a server that reports but refuses.
func TestReachableAgain(t *testing.T) {
	b := refusing(t, true)
	b.report(false, 0, 0)
	// A report arrives with each outcome, 2 s apart.
	refuse := func() {
		b.answer(0, Sample{Failed: true, NotRun: true})
		b.now = b.now.Add(-time.Second)
		b.report(false, 0, 0)
	}
	for range 6 {
		refuse()
	}
	assert.Equal(t, b.NextProbe(), b.now.Add(maxProbe), "there was no silence")
	b.now = b.now.Add(silence)
	b.report(false, 0, 0)
	assert.Equal(t, b.NextProbe(), b.now)
	refuse()
	assert.Assert(t, b.NextProbe().After(b.now), "one probe for each silence")
}
