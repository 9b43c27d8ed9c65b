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

// TestLostAnswers guards against a submission that is reported as refused although it was accepted, or the reverse,
// when single answers of the store are lost. The first submission calls the store five times: read the head, read the
// document, write the document, read the head, swap the head.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
		want   string
	}{
		{"head refused", []fault{refused}, "no effect"},
		{"head unanswered", []fault{requestLost}, "no effect"},
		{"answer to the document lost", []fault{noFault, noFault, answerLost}, "accepted"},
		{"document lost", []fault{noFault, noFault, requestLost}, "no effect"},
		{"document and its check lost", []fault{noFault, noFault, answerLost, requestLost}, "no effect"},
		{"answer to the swap lost", []fault{noFault, noFault, noFault, noFault, answerLost}, "accepted"},
		{"swap lost", []fault{noFault, noFault, noFault, noFault, requestLost}, "accepted"},
		{"swap late", []fault{noFault, noFault, noFault, noFault, writtenLate}, "accepted"},
		{"swap refused for long", []fault{noFault, noFault, noFault, noFault, refused, refused, refused, refused}, "no effect"},
		{"swap lost, then down", []fault{noFault, noFault, noFault, noFault, answerLost, refused, refused, refused}, "unknown"},
		{"swap late, then down", []fault{noFault, noFault, noFault, noFault, writtenLate, refused, refused, refused}, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newStore(test.faults...)
			s := submission("s1", 0, document(2, 0))
			_, err := Submit(ctx, store, s)
			assert.Equal(t, outcomeName(err), test.want)
			assert.Assert(t, test.want == "unknown" || (store.head().Revision == 1) == (err == nil))
			store.faults = nil
			done, err := Submit(ctx, store, s)
			assert.NilError(t, err, "a retry with the same id settles it")
			assert.Equal(t, done.Revision, uint64(1))
			assert.Equal(t, store.head().Revision, uint64(1))
		})
	}
}

// TestRetryOutcomes guards against a retry that is answered wrongly: after 64 others the head no longer shows whether
// the submission was accepted, and an id may be used for another document by mistake.
func TestRetryOutcomes(t *testing.T) {
	store := newStore()
	for i := range uint64(66) {
		_, err := Submit(ctx, store, submission(fmt.Sprint("s", i), i, document(2, float64(i))))
		assert.NilError(t, err)
	}
	tests := []struct {
		name string
		s    Submission
		want string
	}{
		{"accepted, but no longer recorded", submission("s1", 1, document(2, 1)), "no longer recorded"},
		{"oldest recorded", submission("s2", 2, document(2, 2)), "accepted"},
		{"never accepted, on a recorded base", submission("x", 2, document(2, 1)), "conflict"},
		{"never accepted, on a base no longer recorded", submission("x", 1, document(2, 1)), "no longer recorded"},
		{"id of another document", submission("s65", 66, document(2, 1)), "reused"},
		{"ahead of the head", submission("x", 99, document(2, 1)), "conflict"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Submit(ctx, store, test.s)
			assert.Equal(t, outcomeName(err), test.want)
			assert.Equal(t, store.head().Revision, uint64(66))
		})
	}
	assert.Equal(t, store.head().History(3)[0].ID, "s65")
	assert.Equal(t, len(store.head().History(1000)), maxHeadSubmissions)
}

// TestHeadStaysSmall guards against a head that is too large to send to every instance at each change.
func TestHeadStaysSmall(t *testing.T) {
	head := Head{}
	for i := range uint64(200) {
		s := submission(strings.Repeat("<", maxNameBytes), i, operator.Document{})
		s.Author = strings.Repeat("&", maxNameBytes)
		head = head.withSubmission(s.record(strings.Repeat("0", 64)))
	}
	value, err := head.encode()
	assert.NilError(t, err)
	t.Logf("%d bytes", len(value))
	assert.Assert(t, len(value) < 32<<10)
	for _, id := range []string{"", "a\n", strings.Repeat("x", maxNameBytes+1)} {
		_, err := Submit(ctx, newStore(), submission(id, 0, document(2, 0)))
		var faults operator.FieldErrors
		assert.Assert(t, errors.As(err, &faults) && faults[0].Path == "id")
	}
}

// TestSubmissionDuringRollout guards against a submission that changes a route's version while its rollout runs or
// before the rollout's record is written, and against a new rollout with an id that was used before.
func TestSubmissionDuringRollout(t *testing.T) {
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
			_, err := Submit(ctx, store, submission("s1", 0, plain.WithRoute(route.WithRollout(plan))))
			assert.NilError(t, err)
			store.values[rollout.Key("r0")] = etcd.KeyValue{Value: []byte(`{"state":"done"}`)}
			if test.record != "" {
				store.values[rollout.Key("r1")] = etcd.KeyValue{Value: []byte(test.record)}
			}
			_, err = Submit(ctx, store, submission("s2", 1, plain.WithRoute(test.next)))
			var conflict *rollout.ConflictError
			assert.Equal(t, errors.As(err, &conflict), test.want != "", "%v", err)
			assert.Assert(t, conflict == nil || conflict.Path == test.want)
		})
	}
}

// operatorRace records the outcomes reported to operators and the current configuration.
type operatorRace struct {
	store       *fakeStore
	holder      Holder
	reported    map[string]string
	submissions map[string]Submission
}

// TestConcurrentSubmissions guards against two accepted submissions on one base, a partially applied submission, a
// reported outcome that later proves wrong, and a holder that goes back to an older revision. One operator's submission
// runs before any store call of the other's, while calls are refused, lost, or take effect late.
func TestConcurrentSubmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &operatorRace{store: newStore(), reported: map[string]string{}, submissions: map[string]Submission{}}
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			base := r.store.head().Revision
			for range rapid.IntRange(0, 12).Draw(t, "faults") {
				r.store.faults = append(r.store.faults, fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")))
			}
			at := r.store.calls + rapid.IntRange(1, 7).Draw(t, "call")
			r.store.beforeCall = func(call int) {
				if call == at {
					r.send(t, submission(fmt.Sprint("b", round), base, document(2, float64(round)+0.5)))
				}
			}
			r.send(t, submission(fmt.Sprint("a", round), base, document(2, float64(round))))
			r.store.beforeCall, r.store.faults = func(int) {}, nil
			r.store.applyLateWrites()
			r.check(t, base, r.store.head())
		}
	})
}

func (r *operatorRace) send(t *rapid.T, s Submission) {
	done, err := Submit(ctx, r.store, s)
	r.reported[s.ID], r.submissions[s.ID] = outcomeName(err), s
	if err == nil && done.Revision != s.Base+1 {
		t.Fatalf("%s was accepted as revision %d on base %d", s.ID, done.Revision, s.Base)
	}
}

// check compares the head with the outcomes reported to operators, and applies the accepted document and then an older
// one. If a submission of unknown outcome was accepted, a retry must report so.
func (r *operatorRace) check(t *rapid.T, base uint64, head Head) {
	for id, told := range r.reported {
		_, in := head.findSubmission(id)
		if told == "unknown" && in {
			r.send(t, r.submissions[id])
		}
		if in != (r.reported[id] == "accepted") {
			t.Fatalf("%s was told %s, but accepted is %v", id, r.reported[id], in)
		}
	}
	if head.Revision > base+1 || head.Revision == 0 {
		assert.Equal(t, head.Revision, uint64(0), "both submissions on base %d were accepted", base)
		return
	}
	packed, err := FetchDocument(ctx, r.store, head.Digest)
	assert.NilError(t, err, "the head names a document that is missing")
	d, err := DecodeDocument(packed, head.Digest)
	assert.NilError(t, err)
	r.holder.Apply(NewConfig(head.Revision, head.Digest, packed, d))
	r.holder.Apply(NewConfig(rapid.Uint64Range(0, head.Revision).Draw(t, "older"), "older", nil, d))
	assert.Equal(t, r.holder.Current().Digest, head.Digest)
}
