package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shop is a journal over a map, driven without faults unless a case makes them.
type shop struct {
	*Journal
	t     *testing.T
	now   time.Time
	slots map[int64]stored
	mod   int64
}

func newShop(t *testing.T) *shop {
	s := &shop{t: t, now: time.Unix(1_700_000_000, 0), slots: map[int64]stored{}}
	s.successor()
	return s
}

func (s *shop) successor() {
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

func (s *shop) store(w Write) bool {
	if s.slots[w.Slot].mod != w.Last {
		return false
	}
	s.mod++
	s.slots[w.Slot] = stored{w.Value, s.mod}
	return true
}

func (s *shop) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		if w, ok := s.Pending(s.now); ok {
			assert.Assert(s.t, s.store(w))
			s.Committed(s.now, w.ID, s.mod)
		}
	}
}

func (s *shop) claim(key, ask string, by Standing) Result {
	return s.Claim(s.now, key, ask, "entry", by).Result
}

func (s *shop) expect(key, ask string, want Result) {
	s.t.Helper()
	assert.Equal(s.t, s.claim(key, ask, ByStore).String(), want.String())
}

// outage leaves a write without an answer for longer than Memory.
func (s *shop) outage() Write {
	s.run(3 * time.Second)
	s.now = s.now.Add(2 * time.Second)
	w, ok := s.Pending(s.now)
	assert.Assert(s.t, ok)
	s.Lost(s.now, w.ID)
	s.now = s.now.Add(11 * time.Second)
	return w
}

// Each case guards against the failure that it is named after.
func TestRules(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *shop)
	}{
		{"key claimed in memory runs again at the next home", func(s *shop) {
			s.outage()
			key := fmt.Sprintf("%d-x", s.now.Unix()-1)
			assert.Equal(s.t, s.claim(key, "a", ByConsent), Proceed)
			s.successor()
			s.run(3 * time.Second)
			s.expect(key, "b", Unknown)
			s.now = s.now.Add(5 * time.Second)
			s.expect(fmt.Sprintf("%d-y", s.now.Unix()), "c", Wait)
			s.successor() // The gap outlives the home that noted it.
			s.run(time.Second)
			s.expect(key, "b", Unknown)
		}},
		{"stamp covers memory claims that did not fit into the first slot after an outage", func(s *shop) {
			w := s.outage()
			for i := range 12000 {
				assert.Equal(s.t, s.claim(fmt.Sprintf("%d-%d", s.now.Unix(), i), fmt.Sprint("a", i), ByConsent), Proceed)
			}
			assert.Assert(s.t, s.store(w))
			s.Committed(s.now, w.ID, s.mod)
			w, _ = s.Pending(s.now)
			assert.Assert(s.t, s.store(w) && len(w.Value) <= 512<<10)
			key := fmt.Sprintf("%d-11999", s.now.Unix())
			s.successor()
			s.run(time.Second)
			s.expect(key, "b", Unknown)
		}},
		{"first home fails before its first stamp", func(s *shop) {
			s.Journal = nil
			clear(s.slots)
			s.successor()
			s.run(100 * time.Millisecond) // The fence only.
			s.now = s.now.Add(2 * time.Second)
			w, _ := s.Pending(s.now)
			s.Lost(s.now, w.ID)
			s.now = s.now.Add(11 * time.Second)
			key := fmt.Sprintf("%d-x", s.now.Unix())
			assert.Equal(s.t, s.claim(key, "a", ByConsent), Proceed)
			s.successor()
			s.run(time.Second)
			s.expect(key, "b", Unknown)
		}},
		{"key of unknown age is claimed in memory", func(s *shop) {
			s.outage()
			assert.Equal(s.t, s.claim("x", "a", ByConsent), Unavailable)
			assert.Equal(s.t, s.claim(fmt.Sprintf("%d-x", s.now.Unix()-20), "b", ByConsent), Unavailable)
			assert.Equal(s.t, s.claim(fmt.Sprintf("%d-x", s.now.Unix()+2), "c", ByConsent), Unavailable)
			assert.Equal(s.t, s.claim(fmt.Sprintf("%d-x", s.now.Unix()), "d", ByStore), Unavailable)
			assert.Equal(s.t, s.claim("y", "e", ByShare), Unavailable)
		}},
		{"claim of a lost write is granted before it is read back", func(s *shop) {
			s.run(3 * time.Second)
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
			assert.Assert(s.t, s.store(w)) // The first copy arrives late, so the second meets a conflict.
			s.Lost(s.now, w.ID)
			asks, err = s.ReadBack(s.now, w.Slot, w.Value, s.mod, true)
			assert.NilError(s.t, err)
			assert.DeepEqual(s.t, asks, []string{"a"})
			assert.Assert(s.t, s.Start(s.now, "a"))
		}},
		{"old home that was paused commits after the next home's fence", func(s *shop) {
			s.run(3 * time.Second)
			old := *s
			old.expect("x", "a", Wait)
			old.now = s.now.Add(time.Minute) // Time for a new slot, which must be as closed to it as the present one.
			w, _ := old.Pending(old.now)
			s.successor()
			s.run(time.Second)
			assert.Assert(s.t, !s.store(w))
			old.Lost(old.now, w.ID)
			asks, err := old.ReadBack(old.now, w.Slot, s.slots[w.Slot].value, s.slots[w.Slot].mod, true)
			assert.NilError(s.t, err)
			assert.Equal(s.t, len(asks), 0)
			assert.Assert(s.t, old.Fenced() && !old.Start(old.now, "a"))
			s.expect("x", "b", Wait)
		}},
		{"claim that waits at a new home is granted though the old home's write came before the fence", func(s *shop) {
			s.run(3 * time.Second)
			old := *s
			old.expect("x", "a", Wait)
			old.now = s.now.Add(time.Second)
			w, _ := old.Pending(old.now)
			s.successor()
			s.expect("x", "b", Wait)
			s.expect("z", "c", Wait)
			assert.Assert(s.t, s.store(w))
			fence, _ := s.Pending(s.now)
			assert.Assert(s.t, !s.store(fence))
			s.Lost(s.now, fence.ID)
			_, err := s.ReadBack(s.now, w.Slot, w.Value, s.mod, true)
			assert.NilError(s.t, err)
			s.run(time.Second)
			s.expect("x", "b", InProgress)
			assert.Assert(s.t, !s.Start(s.now, "b") && s.Start(s.now, "c"))
			s.successor()
			s.run(time.Second)
			s.expect("x", "b", InProgress)
		}},
		{"outcome is lost between homes", func(s *shop) {
			for _, key := range []string{"done", "free", "open"} {
				s.claim(key, "a"+key, ByStore)
			}
			s.run(3 * time.Second)
			assert.Assert(s.t, s.Start(s.now, "adone"))
			s.expect("done", "adone", InProgress)
			s.run(time.Minute) // The claims' slot is closed.
			s.Finish(s.now, "adone", 201, "10.0.0.1:1")
			s.NotRun(s.now, "afree")
			s.run(3 * time.Second)
			s.successor()
			s.run(time.Second)
			d := s.Claim(s.now, "done", "b", "entry", ByStore)
			assert.DeepEqual(s.t, d, Decision{Result: Done, Status: 201, Holder: "10.0.0.1:1", Request: "adone"})
			s.expect("free", "c", Wait)
			s.expect("open", "d", InProgress)
			s.Abandon(s.now, "entry") // The old home may have granted "open"; "free" was never granted to c.
			s.expect("open", "d", Unknown)
			s.expect("free", "c", Wait)
		}},
		{"timed key is forgotten before it is refused as expired", func(s *shop) {
			s.run(29 * time.Second) // To the end of a slot.
			key := fmt.Sprintf("%d-x", s.now.Unix()+4)
			s.claim(key, "a", ByStore)
			s.run(time.Second)
			s.Finish(s.now, "a", 200, "")
			s.run(40 * time.Second)
			for range 3600 {
				s.run(time.Second)
				for _, stale := range s.Stale(s.now) {
					delete(s.slots, stale.Number)
					s.Deleted(stale.Number)
				}
				r := s.claim(key, "b", ByStore)
				assert.Assert(s.t, r == Done || r == Expired, r)
			}
			s.expect(key, "b", Expired)
			s.run(time.Minute)
			assert.Assert(s.t, len(s.slots) < 130, len(s.slots))
		}},
		{"30 s of 100 claims a second do not fit in a slot", func(s *shop) {
			s.run(3 * time.Second)
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
			s := newShop(t)
			s.run(time.Second)
			c.run(s)
		})
	}
}

// TestUnavailableNotRun guards against a refused claim that is called certainly not run while an earlier home may have
// run its key.
func TestUnavailableNotRun(t *testing.T) {
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
			s := newShop(t)
			if tt.ready {
				s.run(3 * time.Second)
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
