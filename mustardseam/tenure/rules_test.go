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
	l := &ruleFixture{Tenure: New(Config{Self: Candidate{ID: "a"}}), now: time.Unix(1000, 0)}
	l.view = View{Listed: map[string]bool{"a": true, "b": true, "c": true}, Preferred: testRecord(0, "").Candidates}
	return l
}

// becomeHome makes "a" the home of epoch 2 at mod revision 2.
func (l *ruleFixture) becomeHome() {
	l.Observed(l.now, l.now, testRecord(2, "a"), 2, true)
	l.advance(3 * time.Second)
	l.Observed(l.now, l.now, testRecord(2, "a"), 2, true)
}

// endHomeInOutage ends "b", the home of epoch 1, while the store does not answer.
func (l *ruleFixture) endHomeInOutage() {
	l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
	l.StoreFailed(l.now)
	l.view.Listed["b"] = false
	l.view.Preferred = []Candidate{{ID: "a"}, {ID: "c"}}
	l.advance(4 * time.Second)
}

// advance runs a Step every 100 ms for d and returns all actions.
func (l *ruleFixture) advance(d time.Duration) []Action {
	var all []Action
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		all = append(all, l.Step(l.now, l.view)...)
	}
	return all
}

// consentRounds advances by d, with a consent from "c" every 100 ms.
func (l *ruleFixture) consentRounds(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.advance(100 * time.Millisecond)
		l.Consented(l.now, l.now, "c")
	}
}

func countKinds(actions []Action) map[Kind]int {
	n := map[Kind]int{}
	for _, a := range actions {
		n[a.Kind]++
	}
	return n
}

// consentGiven reports whether "a" consents to an Ask for 2 s.
func (l *ruleFixture) consentGiven(from string, epoch uint64) bool {
	given, _ := l.Consent(l.now, from, epoch, 2*time.Second)
	return given
}

// TestTenureRules checks one rule in each case; the case is named after the rule.
func TestTenureRules(t *testing.T) {
	cases := []struct {
		name string
		run  func(l *ruleFixture) bool
	}{
		{"the right lasts from the start of the read", func(l *ruleFixture) bool {
			l.becomeHome()
			started := l.now
			l.now = l.now.Add(1900 * time.Millisecond)
			l.Observed(l.now, started, testRecord(2, "a"), 2, true)
			before := l.MayGrant(l.now)
			return before && !l.MayGrant(l.now.Add(100*time.Millisecond))
		}},
		{"a higher epoch ends the right at once", func(l *ruleFixture) bool {
			l.becomeHome()
			before := l.MayGrant(l.now)
			l.SeenEpoch(l.now, 3)
			return before && !l.MayGrant(l.now)
		}},
		{"an answer that arrives after a newer one is ignored", func(l *ruleFixture) bool {
			l.becomeHome()
			l.Observed(l.now, l.now, testRecord(3, "b"), 3, true)
			l.Observed(l.now, l.now, testRecord(2, "a"), 2, true)
			return !l.Holding()
		}},
		{"a home whose record was replaced by others in the meantime waits", func(l *ruleFixture) bool {
			l.becomeHome()
			l.Observed(l.now, l.now, testRecord(4, "a"), 4, true)
			return l.Mode(l.now) == Waiting
		}},
		{"a home that lapsed for long waits, because a static share may run", func(l *ruleFixture) bool {
			l.becomeHome()
			l.now = l.now.Add(20 * time.Second)
			l.Observed(l.now, l.now, testRecord(2, "a"), 2, true)
			return l.Mode(l.now) == Waiting
		}},
		{"only reads follow a lost swap", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, Record{}, 0, false)
			n := countKinds(l.advance(time.Second))
			l.SwapLost(l.now)
			l.StoreFailed(l.now)
			after := countKinds(l.advance(3 * time.Second))
			return n[Swap] == 1 && after[Swap] == 0 && after[Read] > 0 && !l.MayGrant(l.now)
		}},
		{"a swap that the caller never reports is settled by reads", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, Record{}, 0, false)
			n := countKinds(l.advance(time.Second))
			return n[Swap] == 1 && countKinds(l.advance(8 * time.Second))[Read] == 0 && countKinds(l.advance(2 * time.Second))[Read] == 1
		}},
		{"the wait after a lost swap that took effect starts at its discovery", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, Record{}, 0, false)
			l.advance(time.Second)
			l.SwapLost(l.now)
			l.now = l.now.Add(10 * time.Second)
			l.Observed(l.now, l.now, testRecord(1, "a"), 1, true)
			return l.Mode(l.now) == Waiting && l.Baseline().Equal(l.now.Add(2970*time.Millisecond))
		}},
		{"candidates of a swap that may still take effect are asked too", func(l *ruleFixture) bool {
			l.becomeHome()
			l.view.Listed["d"] = true
			l.view.Preferred = append(l.view.Preferred, Candidate{ID: "d", Address: "d"})
			for range 30 {
				l.Observed(l.now, l.now, testRecord(2, "a"), 2, true)
				l.advance(100 * time.Millisecond)
			}
			l.SwapLost(l.now)
			l.Observed(l.now, l.now, testRecord(2, "a"), 2, true)
			l.StoreFailed(l.now)
			for _, a := range l.advance(time.Second) {
				if a.Kind == Ask {
					return len(a.To) == 3
				}
			}
			return false
		}},
		{"one missing consent ends the right", func(l *ruleFixture) bool {
			l.becomeHome()
			l.StoreFailed(l.now)
			l.consentRounds(3 * time.Second)
			return l.Mode(l.now) == Lapsed
		}},
		{"a consent given to the home delays a takeover", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			given := l.consentGiven("b", 1)
			l.view.Preferred = l.view.Preferred[:1]
			l.view.Suspected = map[string]bool{"b": true}
			first := countKinds(l.advance(100 * time.Millisecond))
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			return given && first[Read] == 1 && countKinds(l.advance(2 * time.Second))[Swap] == 0 && countKinds(l.advance(time.Second))[Swap] == 1
		}},
		{"a home gives no consent", func(l *ruleFixture) bool { l.becomeHome(); return !l.consentGiven("b", 2) && !l.consentGiven("b", 3) }},
		{"an instance whose own swap may still take effect consents to no home", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			l.view.Preferred, l.view.Suspected = l.view.Preferred[:1], map[string]bool{"b": true}
			l.advance(100 * time.Millisecond)
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			l.advance(100 * time.Millisecond)
			l.SwapLost(l.now)
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			return l.store.pendingSwap == nil && !l.consentGiven("b", 1)
		}},
		{"an old epoch gets no consent", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, testRecord(3, "b"), 3, true)
			return !l.consentGiven("b", 2)
		}},
		{"an instance without the record consents to one instance at a time", func(l *ruleFixture) bool {
			return l.consentGiven("b", 5) && !l.consentGiven("c", 5) && l.consentGiven("b", 5)
		}},
		{"static share needs the others' consent and the wait", func(l *ruleFixture) bool {
			l.endHomeInOutage()
			l.advance(10 * time.Second)
			alone := l.Mode(l.now)
			l.consentRounds(2900 * time.Millisecond)
			early := l.Mode(l.now)
			l.consentRounds(time.Second)
			return alone == Follower && early == Follower && l.Mode(l.now) == Static && l.Share(l.now) == 3
		}},
		{"static share waits for the expiry of a consent given to a home", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			l.now = l.now.Add(-time.Second)
			l.endHomeInOutage()
			given := l.consentGiven("b", 1)
			return given && !l.consentGiven("c", 1)
		}},
		{"an instance with a static share consents to no home, and stops when the store answers", func(l *ruleFixture) bool {
			l.endHomeInOutage()
			l.consentRounds(4 * time.Second)
			shares := l.MayGrant(l.now) && !l.consentGiven("b", 1)
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			return shares && !l.MayGrant(l.now) && !l.consentGiven("c", 1)
		}},
		{"consent to a static share excludes consent to the home", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			l.StoreFailed(l.now)
			return l.consentGiven("c", 1) && !l.consentGiven("b", 1)
		}},
		{"a pause ends the static share", func(l *ruleFixture) bool {
			l.endHomeInOutage()
			l.consentRounds(4 * time.Second)
			before := l.MayGrant(l.now)
			return before && !l.MayGrant(l.now.Add(2*time.Second))
		}},
		{"the consent of a candidate is required until it has been off the list for EndedAfter", func(l *ruleFixture) bool {
			l.becomeHome()
			l.view.Listed["b"] = false
			l.view.Preferred = []Candidate{{ID: "a"}, {ID: "c"}}
			l.StoreFailed(l.now)
			l.consentRounds(2500 * time.Millisecond)
			early := l.Mode(l.now)
			l.consentRounds(time.Second)
			return early == Lapsed && l.Mode(l.now) == Consent
		}},
		{"an instance named by a candidate that ended is asked too", func(l *ruleFixture) bool {
			l.becomeHome()
			l.now = l.now.Add(3 * time.Second) // The right lapses; "b" may have taken over, named "d" as candidate, and ended.
			l.view.Listed["b"], l.view.Listed["d"] = false, true
			l.view.Preferred = []Candidate{{ID: "a"}, {ID: "c", Address: "c"}}
			l.StoreFailed(l.now)
			l.consentRounds(5 * time.Second)
			without := l.Mode(l.now)
			l.Consented(l.now, l.now, "d")
			return without == Lapsed && l.Mode(l.now) == Waiting && !l.Unbroken(l.now)
		}},
		{"the consent of a stopped candidate does not expire", func(l *ruleFixture) bool {
			l.becomeHome()
			l.view.Leaving = map[string]bool{"b": true}
			l.StoreFailed(l.now)
			l.advance(600 * time.Millisecond)
			l.Consented(l.now, l.now, "b")
			l.consentRounds(10 * time.Second)
			return l.Mode(l.now) == Consent && l.Unbroken(l.now)
		}},
		{"the home after a release waits for permits granted under static shares", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, testRecord(1, "b"), 1, true)
			l.StoreFailed(l.now)
			given := l.consentGiven("c", 1)
			rec := testRecord(2, "b")
			rec.Released = true
			l.now = l.now.Add(2300 * time.Millisecond)
			l.Observed(l.now, l.now, rec, 2, true)
			l.advance(100 * time.Millisecond)
			l.Swapped(l.now, l.now, testRecord(3, "a"), 3)
			return given && l.Mode(l.now) == Waiting && l.Mode(l.now.Add(600*time.Millisecond)) == Home
		}},
		{"a stopped instance never takes over", func(l *ruleFixture) bool {
			l.Stop(l.now)
			l.Observed(l.now, l.now, Record{}, 0, false)
			return countKinds(l.advance(10 * time.Second))[Swap] == 0
		}},
		{"the pool recovers when the store lost the record's history", func(l *ruleFixture) bool {
			l.Observed(l.now, l.now, testRecord(7, "b"), 7, true)
			l.now = l.now.Add(time.Second)
			l.Observed(l.now, l.now, Record{}, 0, false)
			l.advance(time.Second)
			l.Observed(l.now, l.now, Record{}, 0, false)
			l.advance(time.Second)
			return l.store.pendingSwap != nil && l.store.pendingSwap.Epoch == 8
		}},
		{"permits of an old epoch or past the window are refused", func(l *ruleFixture) bool {
			sent := l.now
			return l.Fence(4) && !l.Fence(3) && l.Fence(4) && l.MayStart(l.now.Add(699*time.Millisecond), sent) &&
				!l.MayStart(l.StartBy(sent), sent)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Assert(t, c.run(newRuleFixture())) })
	}
}
