package tenure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ruleFixture drives the Tenure of instance "a" directly; "b" and "c" are the other candidates.
type ruleFixture struct {
	*Tenure
	now  time.Time
	view View
}

// testRecord returns a record with the candidates "a", "b" and "c".
func testRecord(epoch uint64, home string) Record {
	return Record{Epoch: epoch, Home: home, Candidates: []Candidate{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}}
}

func newRuleFixture() *ruleFixture {
	f := &ruleFixture{Tenure: New(Config{Self: Candidate{ID: "a"}}), now: time.Unix(1000, 0)}
	f.view = View{Listed: map[string]bool{"a": true, "b": true, "c": true}, Preferred: testRecord(0, "").Candidates}
	return f
}

// becomeHome makes "a" the home of epoch 2 at mod revision 2.
func (f *ruleFixture) becomeHome() {
	f.ReadDone(f.now, f.now, testRecord(2, "a"), 2, true)
	f.advance(3 * time.Second)
	f.ReadDone(f.now, f.now, testRecord(2, "a"), 2, true)
}

// endHomeInOutage ends "b", the home of epoch 1, while the store does not answer.
func (f *ruleFixture) endHomeInOutage() {
	f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
	f.ReadFailed(f.now)
	f.view.Listed["b"] = false
	f.view.Preferred = []Candidate{{ID: "a"}, {ID: "c"}}
	f.advance(4 * time.Second)
}

// advance runs a Step every 100 ms for d and returns all actions.
func (f *ruleFixture) advance(d time.Duration) []Action {
	var all []Action
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		all = append(all, f.Step(f.now, f.view)...)
	}
	return all
}

// consentRounds advances by d, with a consent from "c" every 100 ms.
func (f *ruleFixture) consentRounds(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(100 * time.Millisecond)
		f.ConsentGiven(f.now, f.now, "c")
	}
}

func countKinds(actions []Action) map[ActionKind]int {
	n := map[ActionKind]int{}
	for _, a := range actions {
		n[a.Kind]++
	}
	return n
}

// consentsTo reports whether "a" consents to an Ask for 2 s.
func (f *ruleFixture) consentsTo(from string, epoch uint64) bool {
	given, _ := f.Consent(f.now, from, epoch, 2*time.Second)
	return given
}

// TestTenureRules checks one rule in each case; the case is named after the rule.
func TestTenureRules(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *ruleFixture) bool
	}{
		{"the right lasts from the start of the read", func(f *ruleFixture) bool {
			f.becomeHome()
			started := f.now
			f.now = f.now.Add(1900 * time.Millisecond)
			f.ReadDone(f.now, started, testRecord(2, "a"), 2, true)
			before := f.MayGrant(f.now)
			return before && !f.MayGrant(f.now.Add(100*time.Millisecond))
		}},
		{"a higher epoch ends the right immediately", func(f *ruleFixture) bool {
			f.becomeHome()
			before := f.MayGrant(f.now)
			f.ObserveEpoch(f.now, 3)
			return before && !f.MayGrant(f.now)
		}},
		{"an answer that arrives after a newer one is ignored", func(f *ruleFixture) bool {
			f.becomeHome()
			f.ReadDone(f.now, f.now, testRecord(3, "b"), 3, true)
			f.ReadDone(f.now, f.now, testRecord(2, "a"), 2, true)
			return !f.NamedHome()
		}},
		{"a home whose record was replaced by others in the meantime waits", func(f *ruleFixture) bool {
			f.becomeHome()
			f.ReadDone(f.now, f.now, testRecord(4, "a"), 4, true)
			return f.Mode(f.now) == Waiting
		}},
		{"a home that lapsed for long waits, because a static share may run", func(f *ruleFixture) bool {
			f.becomeHome()
			f.now = f.now.Add(20 * time.Second)
			f.ReadDone(f.now, f.now, testRecord(2, "a"), 2, true)
			return f.Mode(f.now) == Waiting
		}},
		{"only reads follow a lost swap", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, Record{}, 0, false)
			n := countKinds(f.advance(time.Second))
			f.SwapLost(f.now)
			f.ReadFailed(f.now)
			after := countKinds(f.advance(3 * time.Second))
			return n[Swap] == 1 && after[Swap] == 0 && after[Read] > 0 && !f.MayGrant(f.now)
		}},
		{"a swap that the caller never reports is settled by reads", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, Record{}, 0, false)
			n := countKinds(f.advance(time.Second))
			return n[Swap] == 1 && countKinds(f.advance(8 * time.Second))[Read] == 0 && countKinds(f.advance(2 * time.Second))[Read] == 1
		}},
		{"the wait after a lost swap that took effect starts at its discovery", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, Record{}, 0, false)
			f.advance(time.Second)
			f.SwapLost(f.now)
			f.now = f.now.Add(10 * time.Second)
			f.ReadDone(f.now, f.now, testRecord(1, "a"), 1, true)
			return f.Mode(f.now) == Waiting && f.BaselineAfter().Equal(f.now.Add(2970*time.Millisecond))
		}},
		{"candidates of a swap that may still take effect are asked too", func(f *ruleFixture) bool {
			f.becomeHome()
			f.view.Listed["d"] = true
			f.view.Preferred = append(f.view.Preferred, Candidate{ID: "d", Address: "d"})
			for range 30 {
				f.ReadDone(f.now, f.now, testRecord(2, "a"), 2, true)
				f.advance(100 * time.Millisecond)
			}
			f.SwapLost(f.now)
			f.ReadDone(f.now, f.now, testRecord(2, "a"), 2, true)
			f.ReadFailed(f.now)
			for _, a := range f.advance(time.Second) {
				if a.Kind == Ask {
					return len(a.To) == 3
				}
			}
			return false
		}},
		{"one missing consent ends the right", func(f *ruleFixture) bool {
			f.becomeHome()
			f.ReadFailed(f.now)
			f.consentRounds(3 * time.Second)
			return f.Mode(f.now) == Lapsed
		}},
		{"a consent given to the home delays a takeover", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			given := f.consentsTo("b", 1)
			f.view.Preferred = f.view.Preferred[:1]
			f.view.Suspected = map[string]bool{"b": true}
			first := countKinds(f.advance(100 * time.Millisecond))
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			return given && first[Read] == 1 && countKinds(f.advance(2 * time.Second))[Swap] == 0 && countKinds(f.advance(time.Second))[Swap] == 1
		}},
		{"a home gives no consent", func(f *ruleFixture) bool { f.becomeHome(); return !f.consentsTo("b", 2) && !f.consentsTo("b", 3) }},
		{"an instance whose own swap may still take effect consents to no home", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			f.view.Preferred, f.view.Suspected = f.view.Preferred[:1], map[string]bool{"b": true}
			f.advance(100 * time.Millisecond)
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			f.advance(100 * time.Millisecond)
			f.SwapLost(f.now)
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			return f.store.pendingSwap == nil && !f.consentsTo("b", 1)
		}},
		{"an old epoch gets no consent", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, testRecord(3, "b"), 3, true)
			return !f.consentsTo("b", 2)
		}},
		{"an instance without the record consents to one instance at a time", func(f *ruleFixture) bool {
			return f.consentsTo("b", 5) && !f.consentsTo("c", 5) && f.consentsTo("b", 5)
		}},
		{"static share needs the others' consent and the wait", func(f *ruleFixture) bool {
			f.endHomeInOutage()
			f.advance(10 * time.Second)
			alone := f.Mode(f.now)
			f.consentRounds(2900 * time.Millisecond)
			early := f.Mode(f.now)
			f.consentRounds(time.Second)
			return alone == Follower && early == Follower && f.Mode(f.now) == Static && f.ShareDivisor(f.now) == 3
		}},
		{"static share waits for the expiry of a consent given to a home", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			f.now = f.now.Add(-time.Second)
			f.endHomeInOutage()
			given := f.consentsTo("b", 1)
			return given && !f.consentsTo("c", 1)
		}},
		{"an instance with a static share consents to no home, and stops when the store answers", func(f *ruleFixture) bool {
			f.endHomeInOutage()
			f.consentRounds(4 * time.Second)
			shares := f.MayGrant(f.now) && !f.consentsTo("b", 1)
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			return shares && !f.MayGrant(f.now) && !f.consentsTo("c", 1)
		}},
		{"consent to a static share excludes consent to the home", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			f.ReadFailed(f.now)
			return f.consentsTo("c", 1) && !f.consentsTo("b", 1)
		}},
		{"a pause ends the static share", func(f *ruleFixture) bool {
			f.endHomeInOutage()
			f.consentRounds(4 * time.Second)
			before := f.MayGrant(f.now)
			return before && !f.MayGrant(f.now.Add(2*time.Second))
		}},
		{"the consent of a candidate is required until it has been off the list for EndedAfter", func(f *ruleFixture) bool {
			f.becomeHome()
			f.view.Listed["b"] = false
			f.view.Preferred = []Candidate{{ID: "a"}, {ID: "c"}}
			f.ReadFailed(f.now)
			f.consentRounds(2500 * time.Millisecond)
			early := f.Mode(f.now)
			f.consentRounds(time.Second)
			return early == Lapsed && f.Mode(f.now) == Consent
		}},
		{"an instance named by a candidate that ended is asked too", func(f *ruleFixture) bool {
			f.becomeHome()
			f.now = f.now.Add(3 * time.Second) // The right lapses; "b" may have taken over, named "d" as candidate, and ended.
			f.view.Listed["b"], f.view.Listed["d"] = false, true
			f.view.Preferred = []Candidate{{ID: "a"}, {ID: "c", Address: "c"}}
			f.ReadFailed(f.now)
			f.consentRounds(5 * time.Second)
			without := f.Mode(f.now)
			f.ConsentGiven(f.now, f.now, "d")
			return without == Lapsed && f.Mode(f.now) == Waiting && !f.ConfirmedWithoutLapse(f.now)
		}},
		{"the consent of a stopped candidate does not expire", func(f *ruleFixture) bool {
			f.becomeHome()
			f.view.Leaving = map[string]bool{"b": true}
			f.ReadFailed(f.now)
			f.advance(600 * time.Millisecond)
			f.ConsentGiven(f.now, f.now, "b")
			f.consentRounds(10 * time.Second)
			return f.Mode(f.now) == Consent && f.ConfirmedWithoutLapse(f.now)
		}},
		{"the home after a release waits for permits granted under static shares", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, testRecord(1, "b"), 1, true)
			f.ReadFailed(f.now)
			given := f.consentsTo("c", 1)
			rec := testRecord(2, "b")
			rec.Released = true
			f.now = f.now.Add(2300 * time.Millisecond)
			f.ReadDone(f.now, f.now, rec, 2, true)
			f.advance(100 * time.Millisecond)
			f.SwapDone(f.now, f.now, testRecord(3, "a"), 3)
			return given && f.Mode(f.now) == Waiting && f.Mode(f.now.Add(600*time.Millisecond)) == Home
		}},
		{"a stopped instance never takes over", func(f *ruleFixture) bool {
			f.Stop(f.now)
			f.ReadDone(f.now, f.now, Record{}, 0, false)
			return countKinds(f.advance(10 * time.Second))[Swap] == 0
		}},
		{"the pool recovers when the store lost the record's history", func(f *ruleFixture) bool {
			f.ReadDone(f.now, f.now, testRecord(7, "b"), 7, true)
			f.now = f.now.Add(time.Second)
			f.ReadDone(f.now, f.now, Record{}, 0, false)
			f.advance(time.Second)
			f.ReadDone(f.now, f.now, Record{}, 0, false)
			f.advance(time.Second)
			return f.store.pendingSwap != nil && f.store.pendingSwap.Epoch == 8
		}},
		{"permits of an old epoch or past the window are refused", func(f *ruleFixture) bool {
			sent := f.now
			return f.CheckEpoch(4) && !f.CheckEpoch(3) && f.CheckEpoch(4) && f.MayStart(f.now.Add(699*time.Millisecond), sent) &&
				!f.MayStart(f.StartDeadline(sent), sent)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Assert(t, c.run(newRuleFixture())) })
	}
}
