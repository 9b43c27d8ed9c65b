package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// journalFixture drives a Journal over a map without faults, except those that a case injects.
type journalFixture struct {
	*Journal
	t     *testing.T
	now   time.Time
	slots map[int64]storedSlot
	mod   int64
}

func newJournalFixture(t *testing.T) *journalFixture {
	s := &journalFixture{t: t, now: time.Unix(1_700_000_000, 0), slots: map[int64]storedSlot{}}
	s.takeOver()
	return s
}

// takeOver replaces the journal by that of the next home.
func (s *journalFixture) takeOver() {
	epoch := uint64(1)
	if s.Journal != nil {
		epoch = s.cfg.Epoch + 1
	}
	s.Journal = New(Config{Epoch: epoch, Self: fmt.Sprint("home", epoch)})
	var slots []Slot
	for number, v := range s.slots {
		slots = append(slots, Slot{number, v.value, v.mod})
	}
	assert.NilError(s.t, s.Load(s.now, s.now.Add(3*time.Second), slots))
}

// applyWrite applies a write like the store. It returns false if the mod revision differs.
func (s *journalFixture) applyWrite(w Write) bool {
	if s.slots[w.Slot].mod != w.Last {
		return false
	}
	s.mod++
	s.slots[w.Slot] = storedSlot{w.Value, s.mod}
	return true
}

// advance moves the time forward in steps of 100 ms and commits each write.
func (s *journalFixture) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		if w, ok := s.Pending(s.now); ok {
			assert.Assert(s.t, s.applyWrite(w))
			s.Committed(s.now, w.ID, s.mod)
		}
	}
}

func (s *journalFixture) claim(key, ask string, by Standing) Result {
	return s.Claim(s.now, key, ask, "entry", by).Result
}

// expect checks the result of a claim by a home that the store confirms.
func (s *journalFixture) expect(key, ask string, want Result) {
	s.t.Helper()
	assert.Equal(s.t, s.claim(key, ask, ByStore).String(), want.String())
}

// loseWriteInOutage leaves a write unanswered for longer than MemoryClaimsAfter, and returns it.
func (s *journalFixture) loseWriteInOutage() Write {
	s.advance(3 * time.Second)
	s.now = s.now.Add(2 * time.Second)
	w, ok := s.Pending(s.now)
	assert.Assert(s.t, ok)
	s.Lost(s.now, w.ID)
	s.now = s.now.Add(11 * time.Second)
	return w
}

// TestClaimRules guards in each case against the failure in its name.
func TestClaimRules(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *journalFixture)
	}{
		{"key claimed in memory runs again at the next home", func(s *journalFixture) {
			s.loseWriteInOutage()
			key := fmt.Sprintf("%d-x", s.now.Unix()-1)
			assert.Equal(s.t, s.claim(key, "a", ByConsent), Proceed)
			s.takeOver()
			s.advance(3 * time.Second)
			s.expect(key, "b", Unknown)
			s.now = s.now.Add(5 * time.Second)
			s.expect(fmt.Sprintf("%d-y", s.now.Unix()), "c", Wait)
			s.takeOver() // The gap outlives the home that recorded it.
			s.advance(time.Second)
			s.expect(key, "b", Unknown)
		}},
		{"stamp covers memory claims that did not fit into the first slot after an outage", func(s *journalFixture) {
			w := s.loseWriteInOutage()
			for i := range 12000 {
				assert.Equal(s.t, s.claim(fmt.Sprintf("%d-%d", s.now.Unix(), i), fmt.Sprint("a", i), ByConsent), Proceed)
			}
			assert.Assert(s.t, s.applyWrite(w))
			s.Committed(s.now, w.ID, s.mod)
			w, _ = s.Pending(s.now)
			assert.Assert(s.t, s.applyWrite(w) && len(w.Value) <= 512<<10)
			key := fmt.Sprintf("%d-11999", s.now.Unix())
			s.takeOver()
			s.advance(time.Second)
			s.expect(key, "b", Unknown)
		}},
		{"first home fails before its first stamp", func(s *journalFixture) {
			s.Journal = nil
			clear(s.slots)
			s.takeOver()
			s.advance(100 * time.Millisecond) // Only the fencing write.
			s.now = s.now.Add(2 * time.Second)
			w, _ := s.Pending(s.now)
			s.Lost(s.now, w.ID)
			s.now = s.now.Add(11 * time.Second)
			key := fmt.Sprintf("%d-x", s.now.Unix())
			assert.Equal(s.t, s.claim(key, "a", ByConsent), Proceed)
			s.takeOver()
			s.advance(time.Second)
			s.expect(key, "b", Unknown)
		}},
		{"key of unknown age is claimed in memory", func(s *journalFixture) {
			s.loseWriteInOutage()
			assert.Equal(s.t, s.claim("x", "a", ByConsent), Unavailable)
			assert.Equal(s.t, s.claim(fmt.Sprintf("%d-x", s.now.Unix()-20), "b", ByConsent), Unavailable)
			assert.Equal(s.t, s.claim(fmt.Sprintf("%d-x", s.now.Unix()+2), "c", ByConsent), Unavailable)
			assert.Equal(s.t, s.claim(fmt.Sprintf("%d-x", s.now.Unix()), "d", ByStore), Unavailable)
			assert.Equal(s.t, s.claim("y", "e", ByShare), Unavailable)
		}},
		{"claim of a lost write is granted before it is read back", func(s *journalFixture) {
			s.advance(3 * time.Second)
			s.expect("x", "a", Wait)
			s.now = s.now.Add(time.Second)
			w, _ := s.Pending(s.now)
			s.Lost(s.now, w.ID)
			assert.Assert(s.t, !s.Start(s.now, "a"))
			asks, err := s.ReadBack(s.now, w.Slot, s.slots[w.Slot].value, w.Last, true)
			assert.NilError(s.t, err)
			assert.Equal(s.t, len(asks), 0)
			again, ok := s.Pending(s.now.Add(time.Second))
			assert.Assert(s.t, ok && again.ID == w.ID)
			assert.Assert(s.t, s.applyWrite(w)) // The first copy takes effect late, so the second meets a conflict.
			s.Lost(s.now, w.ID)
			asks, err = s.ReadBack(s.now, w.Slot, w.Value, s.mod, true)
			assert.NilError(s.t, err)
			assert.DeepEqual(s.t, asks, []string{"a"})
			assert.Assert(s.t, s.Start(s.now, "a"))
		}},
		{"old home that was paused commits after the next home's fence", func(s *journalFixture) {
			s.advance(3 * time.Second)
			old := *s
			old.expect("x", "a", Wait)
			old.now = s.now.Add(time.Minute) // Long enough for a new slot, which the old home must not be able to create either.
			w, _ := old.Pending(old.now)
			s.takeOver()
			s.advance(time.Second)
			assert.Assert(s.t, !s.applyWrite(w))
			old.Lost(old.now, w.ID)
			asks, err := old.ReadBack(old.now, w.Slot, s.slots[w.Slot].value, s.slots[w.Slot].mod, true)
			assert.NilError(s.t, err)
			assert.Equal(s.t, len(asks), 0)
			assert.Assert(s.t, old.Fenced() && !old.Start(old.now, "a"))
			s.expect("x", "b", Wait)
		}},
		{"claim that waits at a new home is granted though the old home's write came before the fence", func(s *journalFixture) {
			s.advance(3 * time.Second)
			old := *s
			old.expect("x", "a", Wait)
			old.now = s.now.Add(time.Second)
			w, _ := old.Pending(old.now)
			s.takeOver()
			s.expect("x", "b", Wait)
			s.expect("z", "c", Wait)
			assert.Assert(s.t, s.applyWrite(w))
			fence, _ := s.Pending(s.now)
			assert.Assert(s.t, !s.applyWrite(fence))
			s.Lost(s.now, fence.ID)
			_, err := s.ReadBack(s.now, w.Slot, w.Value, s.mod, true)
			assert.NilError(s.t, err)
			s.advance(time.Second)
			s.expect("x", "b", InProgress)
			assert.Assert(s.t, !s.Start(s.now, "b") && s.Start(s.now, "c"))
			s.takeOver()
			s.advance(time.Second)
			s.expect("x", "b", InProgress)
		}},
		{"outcome is lost between homes", func(s *journalFixture) {
			for _, key := range []string{"done", "free", "open"} {
				s.claim(key, "a"+key, ByStore)
			}
			s.advance(3 * time.Second)
			assert.Assert(s.t, s.Start(s.now, "adone"))
			s.expect("done", "adone", InProgress)
			s.advance(time.Minute) // The slot with the claims is closed.
			s.Finish(s.now, "adone", 201, "10.0.0.1:1")
			s.NotRun(s.now, "afree")
			s.advance(3 * time.Second)
			s.takeOver()
			s.advance(time.Second)
			d := s.Claim(s.now, "done", "b", "entry", ByStore)
			assert.DeepEqual(s.t, d, Decision{Result: Done, Status: 201, Holder: "10.0.0.1:1", Request: "adone"})
			s.expect("free", "c", Wait)
			s.expect("open", "d", InProgress)
			s.Abandon(s.now, "entry") // The old home may have granted "open"; "free" was never granted to ask c.
			s.expect("open", "d", Unknown)
			s.expect("free", "c", Wait)
		}},
		{"timed key is forgotten before it is refused as expired", func(s *journalFixture) {
			s.advance(29 * time.Second) // Until the end of a slot.
			key := fmt.Sprintf("%d-x", s.now.Unix()+4)
			s.claim(key, "a", ByStore)
			s.advance(time.Second)
			s.Finish(s.now, "a", 200, "")
			s.advance(40 * time.Second)
			for range 3600 {
				s.advance(time.Second)
				for _, stale := range s.Stale(s.now) {
					delete(s.slots, stale.Number)
					s.Deleted(stale.Number)
				}
				r := s.claim(key, "b", ByStore)
				assert.Assert(s.t, r == Done || r == Expired, r)
			}
			s.expect(key, "b", Expired)
			s.advance(time.Minute)
			assert.Assert(s.t, len(s.slots) < 130, len(s.slots))
		}},
		{"30 s of 100 claims a second do not fit in a slot", func(s *journalFixture) {
			s.advance(3 * time.Second)
			for i := range 3000 {
				ask := fmt.Sprintf("01927f3c-7d1e-7c11-9f3e-%012d", i)
				s.Claim(s.now, Key("counter", "reservations", ask), ask, fmt.Sprintf("entry-%d-1700000000", i%8), ByStore)
				s.Finish(s.now, ask, 200, fmt.Sprintf("10.0.0.%d:8443", i%8))
			}
			s.now = s.now.Add(time.Second)
			w, _ := s.Pending(s.now)
			s.t.Logf("%d bytes a claim", len(w.Value)/3000)
			assert.Assert(s.t, len(w.Value) <= 512<<10 && !strings.Contains(string(w.Value), `"next"`))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newJournalFixture(t)
			s.advance(time.Second)
			c.run(s)
		})
	}
}

// TestUnavailableClaimIsNotRunOnlyAfterFence guards against an unavailable claim that is reported as not run while an
// earlier home may have run its key.
func TestUnavailableClaimIsNotRunOnlyAfterFence(t *testing.T) {
	tests := []struct {
		name  string
		ready bool
		by    Standing
		want  bool
	}{
		{"claims of earlier homes are fenced off", true, ByConsent, true},
		{"earlier home may still write", false, ByConsent, false},
		{"share without the right to claim", true, ByShare, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newJournalFixture(t)
			if tt.ready {
				s.advance(3 * time.Second)
			}
			s.now = s.now.Add(2 * time.Second)
			w, ok := s.Pending(s.now)
			assert.Assert(t, ok)
			s.Lost(s.now, w.ID)
			s.now = s.now.Add(11 * time.Second)
			d := s.Claim(s.now, "x", "a", "entry", tt.by)
			assert.Equal(t, d.Result, Unavailable)
			assert.Equal(t, d.NotRun, tt.want)
		})
	}
}
