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
	f := &journalFixture{t: t, now: time.Unix(1_700_000_000, 0), slots: map[int64]storedSlot{}}
	f.takeOver()
	return f
}

// takeOver replaces the journal by that of the next home.
func (f *journalFixture) takeOver() {
	epoch := uint64(1)
	if f.Journal != nil {
		epoch = f.cfg.Epoch + 1
	}
	f.Journal = New(Config{Epoch: epoch, Self: fmt.Sprint("home", epoch)})
	var slots []Slot
	for number, v := range f.slots {
		slots = append(slots, Slot{number, v.value, v.mod})
	}
	assert.NilError(f.t, f.Load(f.now, f.now.Add(3*time.Second), slots))
}

// applyWrite applies a write like the store. It returns false if the mod revision differs.
func (f *journalFixture) applyWrite(w Write) bool {
	if f.slots[w.Slot].mod != w.ExpectedMod {
		return false
	}
	f.mod++
	f.slots[w.Slot] = storedSlot{w.Value, f.mod}
	return true
}

// advance moves the time forward in steps of 100 ms and commits each write.
func (f *journalFixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		if w, ok := f.NextWrite(f.now); ok {
			assert.Assert(f.t, f.applyWrite(w))
			f.WriteCommitted(f.now, w.ID, f.mod)
		}
	}
}

func (f *journalFixture) claim(key, ask string, by Authority) Result {
	return f.Claim(f.now, key, ask, "entry", by).Result
}

// expect checks the result of a claim by a home that the store confirms.
func (f *journalFixture) expect(key, ask string, want Result) {
	f.t.Helper()
	assert.Equal(f.t, f.claim(key, ask, ByStore).String(), want.String())
}

// loseWriteInOutage leaves a write unanswered for longer than MemoryClaimsAfter, and returns it.
func (f *journalFixture) loseWriteInOutage() Write {
	f.advance(3 * time.Second)
	f.now = f.now.Add(2 * time.Second)
	w, ok := f.NextWrite(f.now)
	assert.Assert(f.t, ok)
	f.WriteLost(f.now, w.ID)
	f.now = f.now.Add(11 * time.Second)
	return w
}

// TestClaimRules guards in each case against the failure in its name.
func TestClaimRules(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *journalFixture)
	}{
		{"key claimed in memory runs again at the next home", func(f *journalFixture) {
			f.loseWriteInOutage()
			key := fmt.Sprintf("%d-x", f.now.Unix()-1)
			assert.Equal(f.t, f.claim(key, "a", ByConsent), Proceed)
			f.takeOver()
			f.advance(3 * time.Second)
			f.expect(key, "b", Unknown)
			f.now = f.now.Add(5 * time.Second)
			f.expect(fmt.Sprintf("%d-y", f.now.Unix()), "c", Wait)
			f.takeOver() // The gap outlives the home that recorded it.
			f.advance(time.Second)
			f.expect(key, "b", Unknown)
		}},
		{"stamp covers memory claims that did not fit into the first slot after an outage", func(f *journalFixture) {
			w := f.loseWriteInOutage()
			for i := range 12000 {
				assert.Equal(f.t, f.claim(fmt.Sprintf("%d-%d", f.now.Unix(), i), fmt.Sprint("a", i), ByConsent), Proceed)
			}
			assert.Assert(f.t, f.applyWrite(w))
			f.WriteCommitted(f.now, w.ID, f.mod)
			w, _ = f.NextWrite(f.now)
			assert.Assert(f.t, f.applyWrite(w) && len(w.Value) <= 512<<10)
			key := fmt.Sprintf("%d-11999", f.now.Unix())
			f.takeOver()
			f.advance(time.Second)
			f.expect(key, "b", Unknown)
		}},
		{"first home fails before its first stamp", func(f *journalFixture) {
			f.Journal = nil
			clear(f.slots)
			f.takeOver()
			f.advance(100 * time.Millisecond) // Only the fencing write.
			f.now = f.now.Add(2 * time.Second)
			w, _ := f.NextWrite(f.now)
			f.WriteLost(f.now, w.ID)
			f.now = f.now.Add(11 * time.Second)
			key := fmt.Sprintf("%d-x", f.now.Unix())
			assert.Equal(f.t, f.claim(key, "a", ByConsent), Proceed)
			f.takeOver()
			f.advance(time.Second)
			f.expect(key, "b", Unknown)
		}},
		{"key of unknown age is claimed in memory", func(f *journalFixture) {
			f.loseWriteInOutage()
			assert.Equal(f.t, f.claim("x", "a", ByConsent), Unavailable)
			assert.Equal(f.t, f.claim(fmt.Sprintf("%d-x", f.now.Unix()-20), "b", ByConsent), Unavailable)
			assert.Equal(f.t, f.claim(fmt.Sprintf("%d-x", f.now.Unix()+2), "c", ByConsent), Unavailable)
			assert.Equal(f.t, f.claim(fmt.Sprintf("%d-x", f.now.Unix()), "d", ByStore), Unavailable)
			assert.Equal(f.t, f.claim("y", "e", ByStaticShare), Unavailable)
		}},
		{"claim of a lost write is granted before it is read back", func(f *journalFixture) {
			f.advance(3 * time.Second)
			f.expect("x", "a", Wait)
			f.now = f.now.Add(time.Second)
			w, _ := f.NextWrite(f.now)
			f.WriteLost(f.now, w.ID)
			assert.Assert(f.t, !f.Start(f.now, "a"))
			asks, err := f.ReadBackDone(f.now, w.Slot, f.slots[w.Slot].value, w.ExpectedMod, true)
			assert.NilError(f.t, err)
			assert.Equal(f.t, len(asks), 0)
			again, ok := f.NextWrite(f.now.Add(time.Second))
			assert.Assert(f.t, ok && again.ID == w.ID)
			assert.Assert(f.t, f.applyWrite(w)) // The first copy takes effect late, so the second meets a conflict.
			f.WriteLost(f.now, w.ID)
			asks, err = f.ReadBackDone(f.now, w.Slot, w.Value, f.mod, true)
			assert.NilError(f.t, err)
			assert.DeepEqual(f.t, asks, []string{"a"})
			assert.Assert(f.t, f.Start(f.now, "a"))
		}},
		{"old home that was paused commits after the next home's fence", func(f *journalFixture) {
			f.advance(3 * time.Second)
			old := *f
			old.expect("x", "a", Wait)
			old.now = f.now.Add(time.Minute) // Long enough for a new slot, which the old home must not be able to create either.
			w, _ := old.NextWrite(old.now)
			f.takeOver()
			f.advance(time.Second)
			assert.Assert(f.t, !f.applyWrite(w))
			old.WriteLost(old.now, w.ID)
			asks, err := old.ReadBackDone(old.now, w.Slot, f.slots[w.Slot].value, f.slots[w.Slot].mod, true)
			assert.NilError(f.t, err)
			assert.Equal(f.t, len(asks), 0)
			assert.Assert(f.t, old.Fenced() && !old.Start(old.now, "a"))
			f.expect("x", "b", Wait)
		}},
		{"claim that waits at a new home is granted though the old home's write came before the fence", func(f *journalFixture) {
			f.advance(3 * time.Second)
			old := *f
			old.expect("x", "a", Wait)
			old.now = f.now.Add(time.Second)
			w, _ := old.NextWrite(old.now)
			f.takeOver()
			f.expect("x", "b", Wait)
			f.expect("z", "c", Wait)
			assert.Assert(f.t, f.applyWrite(w))
			fence, _ := f.NextWrite(f.now)
			assert.Assert(f.t, !f.applyWrite(fence))
			f.WriteLost(f.now, fence.ID)
			_, err := f.ReadBackDone(f.now, w.Slot, w.Value, f.mod, true)
			assert.NilError(f.t, err)
			f.advance(time.Second)
			f.expect("x", "b", InProgress)
			assert.Assert(f.t, !f.Start(f.now, "b") && f.Start(f.now, "c"))
			f.takeOver()
			f.advance(time.Second)
			f.expect("x", "b", InProgress)
		}},
		{"outcome is lost between homes", func(f *journalFixture) {
			for _, key := range []string{"done", "free", "open"} {
				f.claim(key, "a"+key, ByStore)
			}
			f.advance(3 * time.Second)
			assert.Assert(f.t, f.Start(f.now, "adone"))
			f.expect("done", "adone", InProgress)
			f.advance(time.Minute) // The slot with the claims is closed.
			f.MarkDone(f.now, "adone", 201, "10.0.0.1:1")
			f.MarkNotRun(f.now, "afree")
			f.advance(3 * time.Second)
			f.takeOver()
			f.advance(time.Second)
			d := f.Claim(f.now, "done", "b", "entry", ByStore)
			assert.DeepEqual(f.t, d, Decision{Result: Done, Status: 201, AnswerAddress: "10.0.0.1:1", Request: "adone"})
			f.expect("free", "c", Wait)
			f.expect("open", "d", InProgress)
			f.SettleFailedOwner(f.now, "entry") // The old home may have granted "open"; "free" was never granted to ask c.
			f.expect("open", "d", Unknown)
			f.expect("free", "c", Wait)
		}},
		{"timed key is forgotten before it is refused as expired", func(f *journalFixture) {
			f.advance(29 * time.Second) // Until the end of a slot.
			key := fmt.Sprintf("%d-x", f.now.Unix()+4)
			f.claim(key, "a", ByStore)
			f.advance(time.Second)
			f.MarkDone(f.now, "a", 200, "")
			f.advance(40 * time.Second)
			for range 3600 {
				f.advance(time.Second)
				for _, stale := range f.StaleSlots(f.now) {
					delete(f.slots, stale.Number)
					f.SlotDeleted(stale.Number)
				}
				r := f.claim(key, "b", ByStore)
				assert.Assert(f.t, r == Done || r == Expired, r)
			}
			f.expect(key, "b", Expired)
			f.advance(time.Minute)
			assert.Assert(f.t, len(f.slots) < 130, len(f.slots))
		}},
		{"30 s of 100 claims a second do not fit in a slot", func(f *journalFixture) {
			f.advance(3 * time.Second)
			for i := range 3000 {
				ask := fmt.Sprintf("01927f3c-7d1e-7c11-9f3e-%012d", i)
				f.Claim(f.now, Key("counter", "reservations", ask), ask, fmt.Sprintf("entry-%d-1700000000", i%8), ByStore)
				f.MarkDone(f.now, ask, 200, fmt.Sprintf("10.0.0.%d:8443", i%8))
			}
			f.now = f.now.Add(time.Second)
			w, _ := f.NextWrite(f.now)
			f.t.Logf("%d bytes a claim", len(w.Value)/3000)
			assert.Assert(f.t, len(w.Value) <= 512<<10 && !strings.Contains(string(w.Value), `"next"`))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newJournalFixture(t)
			f.advance(time.Second)
			c.run(f)
		})
	}
}

// TestUnavailableClaimIsNotRunOnlyAfterFence guards against an unavailable claim that is reported as not run while an
// earlier home may have run its key.
func TestUnavailableClaimIsNotRunOnlyAfterFence(t *testing.T) {
	tests := []struct {
		name  string
		ready bool
		by    Authority
		want  bool
	}{
		{"claims of earlier homes are fenced off", true, ByConsent, true},
		{"earlier home may still write", false, ByConsent, false},
		{"share without the right to claim", true, ByStaticShare, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newJournalFixture(t)
			if tt.ready {
				f.advance(3 * time.Second)
			}
			f.now = f.now.Add(2 * time.Second)
			w, ok := f.NextWrite(f.now)
			assert.Assert(t, ok)
			f.WriteLost(f.now, w.ID)
			f.now = f.now.Add(11 * time.Second)
			d := f.Claim(f.now, "x", "a", "entry", tt.by)
			assert.Equal(t, d.Result, Unavailable)
			assert.Equal(t, d.NotRun, tt.want)
		})
	}
}
