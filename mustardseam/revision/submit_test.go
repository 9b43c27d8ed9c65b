package revision

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// TestLostAnswers guards against a submission that is reported as refused although it was accepted, or the reverse, when
// single answers of the store are lost. The first submission calls: head, document, write of the document, head, swap.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
		want   string
	}{
		{"none", nil, "accepted"},
		{"head refused", []fault{down}, "no effect"},
		{"head unanswered", []fault{dropped}, "no effect"},
		{"answer to the document lost", []fault{none, none, lost}, "accepted"},
		{"document lost", []fault{none, none, dropped}, "no effect"},
		{"document and its check lost", []fault{none, none, lost, dropped}, "no effect"},
		{"answer to the swap lost", []fault{none, none, none, none, lost}, "accepted"},
		{"swap lost", []fault{none, none, none, none, dropped}, "accepted"},
		{"swap late", []fault{none, none, none, none, late}, "accepted"},
		{"swap refused", []fault{none, none, none, none, down}, "accepted"},
		{"swap refused for long", []fault{none, none, none, none, down, down, down, down}, "no effect"},
		{"swap lost, then down", []fault{none, none, none, none, lost, down, down, down}, "unknown"},
		{"swap late, then down", []fault{none, none, none, none, late, down, down, down}, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newStore(test.faults...)
			s := submission("s1", 0, document(2, 0))
			_, err := Send(ctx, store, s)
			assert.Equal(t, kind(err), test.want)
			if test.want != "unknown" {
				assert.Equal(t, store.head().Revision == 1, err == nil)
			}
			store.faults = nil
			done, err := Send(ctx, store, s)
			assert.NilError(t, err, "a retry with the same id settles it")
			assert.Equal(t, done.Revision, uint64(1))
			assert.Equal(t, store.head().Revision, uint64(1))
		})
	}
}

// TestRetries guards against a retry that is answered wrongly: after 64 others the head no longer shows whether the
// submission was accepted, and an id may be used for another document by mistake.
func TestRetries(t *testing.T) {
	store := newStore()
	for i := range uint64(66) {
		_, err := Send(ctx, store, submission(fmt.Sprint("s", i), i, document(2, float64(i))))
		assert.NilError(t, err)
	}
	tests := []struct {
		name string
		s    Submission
		want string
	}{
		{"forgotten", submission("s1", 1, document(2, 1)), "forgotten"},
		{"oldest remembered", submission("s2", 2, document(2, 2)), "accepted"},
		{"never accepted, on a remembered base", submission("x", 2, document(2, 1)), "conflict"},
		{"never accepted, on a forgotten base", submission("x", 1, document(2, 1)), "forgotten"},
		{"id of another document", submission("s65", 66, document(2, 1)), "reused"},
		{"ahead of the head", submission("x", 99, document(2, 1)), "conflict"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Send(ctx, store, test.s)
			assert.Equal(t, kind(err), test.want)
			assert.Equal(t, store.head().Revision, uint64(66))
		})
	}
	history := store.head().History(3)
	assert.Equal(t, len(history), 3)
	assert.Equal(t, history[0].ID, "s65")
	assert.Equal(t, len(store.head().History(1000)), keptSubmits)
}

// TestHeadStaysSmall guards against a head whose spread to every instance at each change costs too much.
func TestHeadStaysSmall(t *testing.T) {
	head := Head{}
	for i := range uint64(200) {
		s := submission(strings.Repeat("<", maxName), i, operator.Document{})
		s.Author = strings.Repeat("&", maxName)
		head = head.with(s.accepted(strings.Repeat("0", 64)))
	}
	value, err := head.encode()
	assert.NilError(t, err)
	t.Logf("%d bytes", len(value))
	assert.Assert(t, len(value) < 32<<10)
	for _, s := range []Submission{{}, {ID: "a\n"}, {ID: strings.Repeat("x", maxName+1)}} {
		_, err := Send(ctx, newStore(), s)
		var faults operator.FieldErrors
		assert.Assert(t, errors.As(err, &faults))
	}
}

// TestRollouts guards against a submission that changes a route's versions while its rollout runs, or begins before its
// record is written, and against a new rollout with a used id.
func TestRollouts(t *testing.T) {
	plan := operator.Rollout{ID: "r1", To: "v2", CanaryShare: 0.01}.WithWindow(submission("", 0, operator.New()).At, submission("", 0, operator.New()).At.Add(1e9))
	plain := document(2, 0)
	route := plain.Routes[0]
	tests := []struct {
		name   string
		record string
		next   operator.Document
		want   string
	}{
		{"running", `{"state":"running"}`, plain.WithRoute(route.WithVersion("v2")), "routes[0].version"},
		{"late", `{"state":"late"}`, plain.WithRoute(route.WithVersion("v2")), "routes[0].version"},
		{"no record yet", "", plain.WithRoute(route.WithVersion("v2")), "routes[0].version"},
		{"unreadable record", "x", plain.WithRoute(route.WithVersion("v2")), "routes[0].version"},
		{"done", `{"state":"done"}`, plain.WithRoute(route.WithVersion("v2")), ""},
		{"taken back", `{"state":"taken-back"}`, plain, ""},
		{"used id", `{"state":"running"}`, plain.WithRoute(route.WithRollout(used(plan))), "routes[0].rollout.id"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newStore()
			_, err := Send(ctx, store, submission("s1", 0, plain.WithRoute(route.WithRollout(plan))))
			assert.NilError(t, err)
			if test.record != "" {
				store.values[rollout.Key("r1")] = etcd.KeyValue{Value: []byte(test.record)}
			}
			store.values[rollout.Key("r0")] = etcd.KeyValue{Value: []byte(`{"state":"done"}`)}
			_, err = Send(ctx, store, submission("s2", 1, test.next))
			var conflict *rollout.ConflictError
			assert.Equal(t, errors.As(err, &conflict), test.want != "", "%v", err)
			if conflict != nil {
				assert.Equal(t, conflict.Path, test.want)
			}
		})
	}
}

func used(r operator.Rollout) operator.Rollout {
	r.ID = "r0"
	return r.WithSupersedes("r1")
}

// TestTwoOperators guards against two accepted submissions on one base, a submission that is half applied, an answer that
// later proves wrong, and a holder that goes back. One operator's submission runs inside the other's, at any call, while
// calls are refused, lost, or take effect late.
func TestTwoOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRace()
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			base := r.store.head().Revision
			r.store.faults = drawFaults(t)
			at := rapid.IntRange(r.store.calls, r.store.calls+6).Draw(t, "call")
			r.store.before = func(call int) {
				if call == at {
					r.store.before = nil
					r.send(t, submission(fmt.Sprint("b", round), base, document(2, float64(round)+0.5)))
				}
			}
			r.send(t, submission(fmt.Sprint("a", round), base, document(2, float64(round))))
			r.store.before = nil
			r.check(t, base)
		}
	})
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault(rapid.IntRange(0, int(faulting)-1).Draw(t, "fault"))
	}), 0, 12).Draw(t, "faults")
}

// race records what operators were told and what came true.
type race struct {
	store   *fakeStore
	holder  Holder
	told    map[string]string
	sent    map[string]Submission
	highest uint64
}

func newRace() *race {
	return &race{store: newStore(), told: map[string]string{}, sent: map[string]Submission{}}
}

func (r *race) send(t *rapid.T, s Submission) {
	done, err := Send(ctx, r.store, s)
	r.told[s.ID], r.sent[s.ID] = kind(err), s
	if err == nil && done.Revision != s.Base+1 {
		t.Fatalf("%s was accepted as revision %d on base %d", s.ID, done.Revision, s.Base)
	}
}

// check lets late writes take effect and compares the head with what operators were told.
func (r *race) check(t *rapid.T, base uint64) {
	r.store.faults = nil
	r.store.flush()
	head := r.store.head()
	if head.Revision > base+1 {
		t.Fatalf("both submissions on base %d were accepted", base)
	}
	for id, told := range r.told {
		_, in := head.find(id)
		if told == "accepted" && !in || told != "accepted" && told != "unknown" && in {
			t.Fatalf("%s was told %s, but accepted is %v", id, told, in)
		}
		r.settle(t, id, in)
	}
	r.apply(t, head)
}

// settle sends a submission of unknown outcome again where it was accepted, which must then be told.
func (r *race) settle(t *rapid.T, id string, in bool) {
	if r.told[id] == "unknown" && in {
		r.send(t, r.sent[id])
		if r.told[id] != "accepted" {
			t.Fatalf("%s is in the head, but a retry was told %s", id, r.told[id])
		}
	}
}

// apply puts the accepted document in force, which must be there, and an older one after it.
func (r *race) apply(t *rapid.T, head Head) {
	if head.Revision == 0 {
		return
	}
	packed, err := Fetch(ctx, r.store, head.Digest)
	if err != nil {
		t.Fatalf("the head names a document that is missing: %v", err)
	}
	d, err := Decode(packed, head.Digest)
	if err != nil {
		t.Fatal(err)
	}
	r.holder.Apply(NewConfig(head.Revision, head.Digest, packed, d))
	r.holder.Apply(NewConfig(rapid.Uint64Range(0, head.Revision).Draw(t, "older"), "older", nil, d))
	if c := r.holder.Current(); c.Digest != head.Digest || c.Revision < r.highest {
		t.Fatalf("revision %d is in force after %d", c.Revision, r.highest)
	}
	r.highest = head.Revision
}
