package revision

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

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
		{"head refused", []fault{down}, "no effect"},
		{"head unanswered", []fault{dropped}, "no effect"},
		{"answer to the document lost", []fault{none, none, lost}, "accepted"},
		{"document lost", []fault{none, none, dropped}, "no effect"},
		{"document and its check lost", []fault{none, none, lost, dropped}, "no effect"},
		{"answer to the swap lost", []fault{none, none, none, none, lost}, "accepted"},
		{"swap lost", []fault{none, none, none, none, dropped}, "accepted"},
		{"swap late", []fault{none, none, none, none, late}, "accepted"},
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
			assert.Assert(t, test.want == "unknown" || (store.head().Revision == 1) == (err == nil))
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
	assert.Equal(t, store.head().History(3)[0].ID, "s65")
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
	for _, id := range []string{"", "a\n", strings.Repeat("x", maxName+1)} {
		_, err := Send(ctx, newStore(), submission(id, 0, document(2, 0)))
		var faults operator.FieldErrors
		assert.Assert(t, errors.As(err, &faults) && faults[0].Path == "id")
	}
}

// TestRollouts guards against a submission that changes a route's versions while its rollout runs, or begins before its
// record is written, and against a new rollout with a used id.
func TestRollouts(t *testing.T) {
	plan := operator.Rollout{ID: "r1", To: "v2", CanaryShare: 0.01}.WithWindow(created, created.Add(time.Hour))
	used := plan.WithSupersedes("r1")
	used.ID = "r0"
	plain := document(2, 0)
	route := plain.Routes[0]
	tests := []struct {
		record string
		next   operator.Route
		want   string
	}{
		{`{"state":"running"}`, route.WithVersion("v2"), "routes[0].version"},
		{`{"state":"late"}`, route.WithVersion("v2"), "routes[0].version"},
		{"", route.WithVersion("v2"), "routes[0].version"},
		{"unreadable", route.WithVersion("v2"), "routes[0].version"},
		{`{"state":"done"}`, route.WithVersion("v2"), ""},
		{`{"state":"running"}`, route.WithRollout(used), "routes[0].rollout.id"},
	}
	for _, test := range tests {
		t.Run(test.record+test.want, func(t *testing.T) {
			store := newStore()
			_, err := Send(ctx, store, submission("s1", 0, plain.WithRoute(route.WithRollout(plan))))
			assert.NilError(t, err)
			store.values[rollout.Key("r0")] = etcd.KeyValue{Value: []byte(`{"state":"done"}`)}
			if test.record != "" {
				store.values[rollout.Key("r1")] = etcd.KeyValue{Value: []byte(test.record)}
			}
			_, err = Send(ctx, store, submission("s2", 1, plain.WithRoute(test.next)))
			var conflict *rollout.ConflictError
			assert.Equal(t, errors.As(err, &conflict), test.want != "", "%v", err)
			assert.Assert(t, conflict == nil || conflict.Path == test.want)
		})
	}
}

// race records what operators were told and what is in force.
type race struct {
	store  *fakeStore
	holder Holder
	told   map[string]string
	sent   map[string]Submission
}

// TestTwoOperators guards against two accepted submissions on one base, a submission that is half applied, an answer that
// later proves wrong, and a holder that goes back. One operator's submission runs inside the other's, at any call, while
// calls are refused, lost, or take effect late.
func TestTwoOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &race{store: newStore(), told: map[string]string{}, sent: map[string]Submission{}}
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			base := r.store.head().Revision
			for range rapid.IntRange(0, 12).Draw(t, "faults") {
				r.store.faults = append(r.store.faults, fault(rapid.IntRange(0, int(faulting)-1).Draw(t, "fault")))
			}
			at := r.store.calls + rapid.IntRange(1, 7).Draw(t, "call")
			r.store.before = func(call int) {
				if call == at {
					r.send(t, submission(fmt.Sprint("b", round), base, document(2, float64(round)+0.5)))
				}
			}
			r.send(t, submission(fmt.Sprint("a", round), base, document(2, float64(round))))
			r.store.before, r.store.faults = func(int) {}, nil
			r.store.flush()
			r.check(t, base, r.store.head())
		}
	})
}

func (r *race) send(t *rapid.T, s Submission) {
	done, err := Send(ctx, r.store, s)
	r.told[s.ID], r.sent[s.ID] = kind(err), s
	if err == nil && done.Revision != s.Base+1 {
		t.Fatalf("%s was accepted as revision %d on base %d", s.ID, done.Revision, s.Base)
	}
}

// check compares the head with what operators were told, and puts the accepted document in force and an older one after
// it. Where a submission of unknown outcome was accepted, a retry must be told so.
func (r *race) check(t *rapid.T, base uint64, head Head) {
	for id, told := range r.told {
		_, in := head.find(id)
		if told == "unknown" && in {
			r.send(t, r.sent[id])
		}
		if in != (r.told[id] == "accepted") {
			t.Fatalf("%s was told %s, but accepted is %v", id, r.told[id], in)
		}
	}
	if head.Revision > base+1 || head.Revision == 0 {
		assert.Equal(t, head.Revision, uint64(0), "both submissions on base %d were accepted", base)
		return
	}
	packed, err := Fetch(ctx, r.store, head.Digest)
	assert.NilError(t, err, "the head names a document that is missing")
	d, err := Decode(packed, head.Digest)
	assert.NilError(t, err)
	r.holder.Apply(NewConfig(head.Revision, head.Digest, packed, d))
	r.holder.Apply(NewConfig(rapid.Uint64Range(0, head.Revision).Draw(t, "older"), "older", nil, d))
	assert.Equal(t, r.holder.Current().Digest, head.Digest)
}
