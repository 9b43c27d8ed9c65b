package duty

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTakeover guards against a loss of the holder after which nobody, two instances or the wrong one acts.
func TestTakeover(t *testing.T) {
	tests := []struct {
		name  string
		fault func(l *trial) // Happens at 6 s.
		heal  func(l *trial) // Happens at 8 s.
		want  string         // Order of the instances that acted until 20 s.
		by    time.Duration  // Time by which the second instance acts; 0 if there is none.
	}{
		{"no fault", nil, nil, "[a]", 0},
		{"holder killed", func(l *trial) { l.nodes[0].paused = true }, nil, "[a b]", 10 * time.Second},
		{"holder paused", func(l *trial) { l.nodes[0].paused = true }, func(l *trial) { l.nodes[0].paused = false }, "[a]", 0},
		{"holder cut off from the store", func(l *trial) { l.nodes[0].cut = true }, nil, "[a b]", 10 * time.Second},
		{"holder and next candidate cut off", func(l *trial) { l.nodes[0].cut, l.nodes[1].cut = true, true }, nil, "[a c]", 10 * time.Second},
		{"short outage of the store", func(l *trial) { l.store.down = true }, func(l *trial) { l.store.down = false }, "[a]", 0},
		{"planned stop", func(l *trial) {
			l.nodes[0].stopping = true
			l.nodes[0].election.Resign(l.store.now, 0, "planned stop")
		}, nil, "[a b]", 6*time.Second + 300*time.Millisecond},
		{"call refused", func(l *trial) {
			right, _ := l.nodes[0].election.Right(l.store.now)
			l.nodes[0].election.Refused(l.store.now, right.Token)
		}, nil, "[a b]", 6*time.Second + 300*time.Millisecond},
		{"other token refused", func(l *trial) { l.nodes[0].election.Refused(l.store.now, 1) }, nil, "[a]", 0},
		{"store restored without the record", func(l *trial) { l.store.restore(50, nil) }, nil, "[a b]", 8 * time.Second},
		{"store restored with the record", func(l *trial) {
			l.store.restore(l.store.revision, l.store.record)
		}, nil, "[a]", 0},
		{"call without an answer at a planned stop", func(l *trial) {
			l.nodes[0].finished, l.nodes[0].stopping = false, true
			l.nodes[0].election.Resign(l.store.now, 0, "planned stop")
		}, func(l *trial) { l.nodes[0].finished = true }, "[a b]", 8*time.Second + 300*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newTrial()
			l.until(t, 6*time.Second)
			assert.Assert(t, l.token(t, "a") > 1<<eraShift)
			if test.fault != nil {
				test.fault(l)
			}
			l.until(t, 8*time.Second)
			if test.heal != nil {
				test.heal(l)
			}
			l.until(t, 20*time.Second)
			assert.Equal(t, fmt.Sprint(l.actors), test.want)
			assert.Equal(t, l.token(t, l.actors[len(l.actors)-1]), Token(l.store.era, l.store.recordRev))
			if test.by == 0 {
				return
			}
			for _, n := range l.nodes {
				if n.name == l.actors[1] {
					assert.Assert(t, n.acted[0] <= test.by, "took over at %v", n.acted[0])
				}
			}
		})
	}
}

// TestPausedHolderReturns guards against a holder that acts after it was paused for longer than its lease.
func TestPausedHolderReturns(t *testing.T) {
	l := newTrial()
	l.until(t, 6*time.Second)
	a := l.nodes[0]
	a.paused = true
	acted := len(a.acted)
	l.until(t, 12*time.Second)
	_, ok := a.election.Right(l.store.now)
	assert.Assert(t, !ok, "the right must end without any news")
	a.paused = false
	l.until(t, 20*time.Second)
	assert.Equal(t, len(a.acted), acted)
	assert.Equal(t, fmt.Sprint(l.actors), "[a b]")
}

// TestStoreDownForLongerThanTheLease guards against a holder that acts without a lease, and against duties that nobody takes
// after the outage.
func TestStoreDownForLongerThanTheLease(t *testing.T) {
	for _, leasesEnd := range []bool{true, false} {
		t.Run(fmt.Sprint(leasesEnd), func(t *testing.T) {
			l := newTrial()
			l.until(t, 6*time.Second)
			l.store.down = true
			l.until(t, 14*time.Second)
			a := l.nodes[0]
			assert.Assert(t, a.acted[len(a.acted)-1] <= 6*time.Second+testTTL)
			if leasesEnd {
				clear(l.store.leases)
				l.store.record, l.store.recordRev, l.store.revision = nil, 0, l.store.revision+1
			} else {
				for id := range l.store.leases { // The lease was paused.
					l.store.leases[id] = l.store.now + testTTL
				}
			}
			l.store.down = false
			l.until(t, 16*time.Second)
			if leasesEnd {
				assert.Equal(t, fmt.Sprint(l.actors), "[a b]")
			} else {
				assert.Equal(t, fmt.Sprint(l.actors), "[a]")
			}
		})
	}
}

// TestLostAnswerToTheAcquisition guards against a record that nobody uses, and against a token that is not that of the record,
// after the answer to the write was lost.
func TestLostAnswerToTheAcquisition(t *testing.T) {
	l := newTrial()
	l.nodes[0].lost = true
	l.until(t, 4*time.Second)
	assert.Equal(t, l.token(t, "a"), Token(l.store.era, l.store.recordRev))
}

// TestTokensRise guards against a token that a restored store gives out a second time.
func TestTokensRise(t *testing.T) {
	l := newTrial()
	l.until(t, 6*time.Second)
	before := l.token(t, "a")
	l.store.restore(99, nil)
	l.until(t, 8*time.Second)
	after := l.token(t, "b")
	assert.Assert(t, after > before, "%d after %d", after, before)
}

// TestNewRunWaits guards against holders that act in the order A, B, A within the lifetime of a lease: an earlier run of the
// instance may have acted just before.
func TestNewRunWaits(t *testing.T) {
	s := newFakeStore()
	n := newNode(s, "a", 0)
	for s.now < 6*time.Second {
		s.advance(s.now + testTick)
		n.step()
	}
	assert.Assert(t, n.acted[0] >= testTTL && n.acted[0] <= testTTL+2*testTick, "acted first at %v", n.acted[0])
}

// TestFewCalls guards against more than about one call to the store a second while nothing happens.
func TestFewCalls(t *testing.T) {
	l := newTrial()
	l.until(t, 5*time.Second)
	l.store.calls = 0
	l.until(t, 15*time.Second)
	assert.Assert(t, l.store.calls <= 11, "%d calls in 10 s", l.store.calls)
}
