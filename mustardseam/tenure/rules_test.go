package tenure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lone drives one Tenure, "a", by hand; "b" and "c" are the other candidates.
type lone struct {
	*Tenure
	now  time.Time
	view View
}

func at(epoch uint64, home string) Record {
	return Record{Epoch: epoch, Home: home, Candidates: []Candidate{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}}
}

func newLone() *lone {
	l := &lone{Tenure: New(Config{Self: Candidate{ID: "a"}}), now: time.Unix(1000, 0)}
	l.view = View{Listed: map[string]bool{"a": true, "b": true, "c": true}, Preferred: at(0, "").Candidates}
	return l
}

// home lets "a" act as home of epoch 2 at mod revision 2.
func (l *lone) home() {
	l.Observed(l.now, l.now, at(2, "a"), 2, true)
	l.pass(3 * time.Second)
	l.Observed(l.now, l.now, at(2, "a"), 2, true)
}

// ended lets "b", the home of epoch 1, be gone while the store does not answer.
func (l *lone) ended() {
	l.Observed(l.now, l.now, at(1, "b"), 1, true)
	l.StoreFailed(l.now)
	l.view.Listed["b"] = false
	l.view.Preferred = []Candidate{{ID: "a"}, {ID: "c"}}
	l.pass(4 * time.Second)
}

func (l *lone) pass(d time.Duration) []Action {
	var all []Action
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		all = append(all, l.Step(l.now, l.view)...)
	}
	return all
}

// agree lets "c" consent to every round for d.
func (l *lone) agree(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.pass(100 * time.Millisecond)
		l.Consented(l.now, l.now, "c")
	}
}

func kinds(actions []Action) map[Kind]int {
	n := map[Kind]int{}
	for _, a := range actions {
		n[a.Kind]++
	}
	return n
}

func (l *lone) consents(from string, epoch uint64) bool {
	given, _ := l.Consent(l.now, from, epoch, 2*time.Second)
	return given
}

// Each case names the rule that it breaks when it fails.
func TestRules(t *testing.T) {
	cases := []struct {
		name string
		run  func(l *lone) bool
	}{
		{"the right lasts from the start of the read", func(l *lone) bool {
			l.home()
			started := l.now
			l.now = l.now.Add(1900 * time.Millisecond)
			l.Observed(l.now, started, at(2, "a"), 2, true)
			before := l.MayGrant(l.now)
			return before && !l.MayGrant(l.now.Add(100*time.Millisecond))
		}},
		{"a higher epoch ends the right at once", func(l *lone) bool {
			l.home()
			before := l.MayGrant(l.now)
			l.SeenEpoch(l.now, 3)
			return before && !l.MayGrant(l.now)
		}},
		{"an answer that was overtaken is ignored", func(l *lone) bool {
			l.home()
			l.Observed(l.now, l.now, at(3, "b"), 3, true)
			l.Observed(l.now, l.now, at(2, "a"), 2, true)
			return !l.Holding()
		}},
		{"a home whose record others replaced meanwhile waits", func(l *lone) bool {
			l.home()
			l.Observed(l.now, l.now, at(4, "a"), 4, true)
			return l.Mode(l.now) == Waiting
		}},
		{"a home that lapsed for long waits, because a static share may run", func(l *lone) bool {
			l.home()
			l.now = l.now.Add(20 * time.Second)
			l.Observed(l.now, l.now, at(2, "a"), 2, true)
			return l.Mode(l.now) == Waiting
		}},
		{"a lost swap is followed by nothing but reads", func(l *lone) bool {
			l.Observed(l.now, l.now, Record{}, 0, false)
			n := kinds(l.pass(time.Second))
			l.SwapLost(l.now)
			l.StoreFailed(l.now)
			after := kinds(l.pass(3 * time.Second))
			return n[Swap] == 1 && after[Swap] == 0 && after[Read] > 0 && !l.MayGrant(l.now)
		}},
		{"a swap that the caller never reports is settled by reads", func(l *lone) bool {
			l.Observed(l.now, l.now, Record{}, 0, false)
			n := kinds(l.pass(time.Second))
			return n[Swap] == 1 && kinds(l.pass(8 * time.Second))[Read] == 0 && kinds(l.pass(2 * time.Second))[Read] == 1
		}},
		{"a lost swap that took effect is waited for from its discovery", func(l *lone) bool {
			l.Observed(l.now, l.now, Record{}, 0, false)
			l.pass(time.Second)
			l.SwapLost(l.now)
			l.now = l.now.Add(10 * time.Second)
			l.Observed(l.now, l.now, at(1, "a"), 1, true)
			return l.Mode(l.now) == Waiting && l.Baseline().Equal(l.now.Add(2970*time.Millisecond))
		}},
		{"candidates of a swap that may still take effect are asked too", func(l *lone) bool {
			l.home()
			l.view.Listed["d"] = true
			l.view.Preferred = append(l.view.Preferred, Candidate{ID: "d", Address: "d"})
			for range 30 {
				l.Observed(l.now, l.now, at(2, "a"), 2, true)
				l.pass(100 * time.Millisecond)
			}
			l.SwapLost(l.now)
			l.Observed(l.now, l.now, at(2, "a"), 2, true)
			l.StoreFailed(l.now)
			for _, a := range l.pass(time.Second) {
				if a.Kind == Ask {
					return len(a.To) == 3
				}
			}
			return false
		}},
		{"one missing consent ends the right", func(l *lone) bool {
			l.home()
			l.StoreFailed(l.now)
			l.agree(3 * time.Second)
			return l.Mode(l.now) == Lapsed
		}},
		{"a promise to the home delays a takeover", func(l *lone) bool {
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			given := l.consents("b", 1)
			l.view.Preferred = l.view.Preferred[:1]
			l.view.Suspected = map[string]bool{"b": true}
			first := kinds(l.pass(100 * time.Millisecond))
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			return given && first[Read] == 1 && kinds(l.pass(2 * time.Second))[Swap] == 0 && kinds(l.pass(time.Second))[Swap] == 1
		}},
		{"a home consents to nobody", func(l *lone) bool { l.home(); return !l.consents("b", 2) && !l.consents("b", 3) }},
		{"an instance whose own swap may still take effect consents to no home", func(l *lone) bool {
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			l.view.Preferred, l.view.Suspected = l.view.Preferred[:1], map[string]bool{"b": true}
			l.pass(100 * time.Millisecond)
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			l.pass(100 * time.Millisecond)
			l.SwapLost(l.now)
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			return l.store.pending == nil && !l.consents("b", 1)
		}},
		{"an old epoch gets no consent", func(l *lone) bool { l.Observed(l.now, l.now, at(3, "b"), 3, true); return !l.consents("b", 2) }},
		{"an instance without the record consents to one at a time", func(l *lone) bool {
			return l.consents("b", 5) && !l.consents("c", 5) && l.consents("b", 5)
		}},
		{"static share needs the others' consent and the wait", func(l *lone) bool {
			l.ended()
			l.pass(10 * time.Second)
			alone := l.Mode(l.now)
			l.agree(2900 * time.Millisecond)
			early := l.Mode(l.now)
			l.agree(time.Second)
			return alone == Follower && early == Follower && l.Mode(l.now) == Static && l.Share(l.now) == 3
		}},
		{"static share waits for the promise to a home", func(l *lone) bool {
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			l.now = l.now.Add(-time.Second)
			l.ended()
			given := l.consents("b", 1)
			return given && !l.consents("c", 1)
		}},
		{"a sharer consents to no home, and a store that answers ends sharing", func(l *lone) bool {
			l.ended()
			l.agree(4 * time.Second)
			shares := l.MayGrant(l.now) && !l.consents("b", 1)
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			return shares && !l.MayGrant(l.now) && !l.consents("c", 1)
		}},
		{"consent to a share excludes the home", func(l *lone) bool {
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			l.StoreFailed(l.now)
			return l.consents("c", 1) && !l.consents("b", 1)
		}},
		{"a paused sharer stops", func(l *lone) bool {
			l.ended()
			l.agree(4 * time.Second)
			before := l.MayGrant(l.now)
			return before && !l.MayGrant(l.now.Add(2*time.Second))
		}},
		{"a candidate is excused only after a while off the list", func(l *lone) bool {
			l.home()
			l.view.Listed["b"] = false
			l.view.Preferred = []Candidate{{ID: "a"}, {ID: "c"}}
			l.StoreFailed(l.now)
			l.agree(2500 * time.Millisecond)
			early := l.Mode(l.now)
			l.agree(time.Second)
			return early == Lapsed && l.Mode(l.now) == Consent
		}},
		{"an instance named by a candidate that ended is asked too", func(l *lone) bool {
			l.home()
			l.now = l.now.Add(3 * time.Second) // The right lapses, "b" may take over, name "d", and end.
			l.view.Listed["b"], l.view.Listed["d"] = false, true
			l.view.Preferred = []Candidate{{ID: "a"}, {ID: "c", Address: "c"}}
			l.StoreFailed(l.now)
			l.agree(5 * time.Second)
			without := l.Mode(l.now)
			l.Consented(l.now, l.now, "d")
			return without == Lapsed && l.Mode(l.now) == Waiting && !l.Unbroken(l.now)
		}},
		{"the consent of a candidate that stopped holds for good", func(l *lone) bool {
			l.home()
			l.view.Leaving = map[string]bool{"b": true}
			l.StoreFailed(l.now)
			l.pass(600 * time.Millisecond)
			l.Consented(l.now, l.now, "b")
			l.agree(10 * time.Second)
			return l.Mode(l.now) == Consent && l.Unbroken(l.now)
		}},
		{"a released record is granted on after the permits of sharers", func(l *lone) bool {
			l.Observed(l.now, l.now, at(1, "b"), 1, true)
			l.StoreFailed(l.now)
			given := l.consents("c", 1)
			rec := at(2, "b")
			rec.Released = true
			l.now = l.now.Add(2300 * time.Millisecond)
			l.Observed(l.now, l.now, rec, 2, true)
			l.pass(100 * time.Millisecond)
			l.Swapped(l.now, l.now, at(3, "a"), 3)
			return given && l.Mode(l.now) == Waiting && l.Mode(l.now.Add(600*time.Millisecond)) == Home
		}},
		{"a stopped instance never takes over", func(l *lone) bool {
			l.Stop(l.now)
			l.Observed(l.now, l.now, Record{}, 0, false)
			return kinds(l.pass(10 * time.Second))[Swap] == 0
		}},
		{"the pool recovers when the store lost the record's history", func(l *lone) bool {
			l.Observed(l.now, l.now, at(7, "b"), 7, true)
			l.now = l.now.Add(time.Second)
			l.Observed(l.now, l.now, Record{}, 0, false)
			l.pass(time.Second)
			l.Observed(l.now, l.now, Record{}, 0, false)
			l.pass(time.Second)
			return l.store.pending != nil && l.store.pending.Epoch == 8
		}},
		{"permits of an old epoch or past the window are refused", func(l *lone) bool {
			sent := l.now
			return l.Fence(4) && !l.Fence(3) && l.Fence(4) && l.MayStart(l.now.Add(699*time.Millisecond), sent) &&
				!l.MayStart(l.StartBy(sent), sent)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Assert(t, c.run(newLone())) })
	}
}
