package main

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

func (s *testEnv) head(t *testing.T) revision.Head {
	head, _, err := revision.ReadHead(t.Context(), s.store)
	assert.NilError(t, err)
	return head
}

// newSubmittedTestEnv returns a testEnv whose revision 1 is the test document.
func newSubmittedTestEnv(t *testing.T) *testEnv {
	s := newTestEnv(t)
	code, _, errText := s.run(yamlOf(t, testDocument()), "submit")
	assert.Equal(t, code, exitDone, errText)
	return s
}

// TestConcurrentSubmitConflicts guards against a concurrent submission that silently overwrites another operator's
// change.
func TestConcurrentSubmitConflicts(t *testing.T) {
	s := newSubmittedTestEnv(t)
	_, mine, _ := s.run("", "get")
	_, theirs, _ := s.run("", "get")
	s.store.beforeHeadWrite = func() {
		code, _, errText := s.run(strings.Replace(theirs, "max-waiting: 10", "max-waiting: 20", 1), "submit", "--author", "basma", "--id", "b1")
		assert.Equal(t, code, exitDone, errText)
	}
	code, out, errText := s.run(strings.Replace(mine, "max-waiting: 10", "max-waiting: 30", 1), "submit")
	assert.Equal(t, code, exitConflict)
	assert.Equal(t, out, "")
	assert.Equal(t, errText, "mustardctl: conflict: based on revision 1, but revision 2 by basma (submission b1) is in force\n")
	assert.Equal(t, s.head(t).Revision, uint64(2))
	_, _, errText = s.run(mine, "-o", "json", "submit", "--base", "0")
	var f errorOutput
	assert.NilError(t, json.Unmarshal([]byte(errText), &f))
	assert.Equal(t, f.ExitCode, exitConflict)
	assert.Equal(t, f.Conflict.Author, "basma")
}

// TestDrainKeepsConcurrentChange guards against a drain that is lost, or that reverts a concurrent change.
func TestDrainKeepsConcurrentChange(t *testing.T) {
	s := newSubmittedTestEnv(t)
	s.store.beforeHeadWrite = func() {
		code, _, errText := s.run("", "drain", "backend-server", "e1")
		assert.Equal(t, code, exitDone, errText)
	}
	code, _, errText := s.run("", "drain", "data-centre", "amman-2")
	assert.Equal(t, code, exitDone, errText)
	_, out, _ := s.run(yamlOf(t, testDocument()), "diff", "-")
	assert.Equal(t, out, ""+
		"PATH                                  OLD   NEW\n"+
		"data-centres[amman-2].out-of-service  true  -\n"+
		"backend-servers[e1].leaving           true  -\n")
	for _, args := range [][]string{{"backend-server", "e1"}, {"data-centre", "amman-2"}, {"data-centre", "amman-2"}} {
		code, _, errText := s.run("", append([]string{"restore"}, args...)...)
		assert.Equal(t, code, exitDone, errText)
	}
	assert.Equal(t, s.head(t).Revision, uint64(5)) // The second restore of amman-2 submits nothing.
	_, out, _ = s.run(yamlOf(t, testDocument()), "diff", "-")
	assert.Equal(t, out, "no changes\n")
	code, _, errText = s.run("", "drain", "data-centre", "amman-9")
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, is.Contains(errText, "the configuration has: amman-1, amman-2"))
}

// TestLostResponseSubmitsOnce guards against a submission that is reported as failed, or made twice, when the store's
// response is lost after the write took effect.
func TestLostResponseSubmitsOnce(t *testing.T) {
	s := newTestEnv(t)
	s.store.loseResponse = true
	code, out, errText := s.run(yamlOf(t, testDocument()), "submit", "--id", "a1")
	assert.Equal(t, code, exitDone, errText)
	assert.Assert(t, is.Contains(out, "a1"))
	assert.Equal(t, len(s.head(t).Submissions), 1)
}

// TestUnknownOutcomeCanBeRepeated guards against a definite result while the outcome is unknown, and against a second
// effect when the submission is repeated with its ID.
func TestUnknownOutcomeCanBeRepeated(t *testing.T) {
	s := newTestEnv(t)
	s.store.loseResponse, s.store.downAfterLostResponse = true, true
	code, _, errText := s.run(yamlOf(t, testDocument()), "submit", "--id", "a1")
	assert.Equal(t, code, exitUnknown)
	assert.Assert(t, is.Contains(errText, "repeat it with --id a1"))
	s.store.down = false
	code, _, errText = s.run(yamlOf(t, testDocument()), "submit", "--id", "a1")
	assert.Equal(t, code, exitDone, errText)
	assert.Equal(t, len(s.head(t).Submissions), 1)
	s.store.down = true
	code, _, _ = s.run(yamlOf(t, testDocument()), "drain", "data-centre", "amman-1")
	assert.Equal(t, code, exitFailed) // Nothing was written.
}

// TestFailureAfterUnknownAttempt guards against an exit code that says that nothing was written although an earlier attempt may
// still take effect.
func TestFailureAfterUnknownAttempt(t *testing.T) {
	s := newTestEnv(t)
	s.store.delayHeadWrite = true
	s.beforeSleep = func() {
		s.store.down = false
		s.store.put(rollout.Key("r1"), []byte(`{"state":"done"}`)) // The document is refused from now on.
	}
	code, _, errText := s.run(yamlOf(t, testDocument()), "submit", "--id", "a1")
	assert.Equal(t, code, exitUnknown, errText)
	assert.Assert(t, is.Contains(errText, "repeat it with --id a1"))
}

// TestInvalidFileNamesField guards against an invalid file that is accepted, and against an error that does not name
// the field.
func TestInvalidFileNamesField(t *testing.T) {
	tests := []struct{ old, edit, want string }{
		{"weight: 1.0", "weight: 0", "line 7: teams[0].weight: must be above 0"},
		{"weight: 1.0", "wieght: 2", "line 7: teams[0].wieght: unknown member"},
		{"rollout:", "rollout: {id: r2, to: v2, start: 2026-05-02T06:00:00Z, deadline: 2026-05-02T07:00:00Z}\n  x:", "line 41: routes[0].x: unknown member"},
		{"id: r1", "id: r2", `routes[0].rollout.supersedes: rollout "r1" is running`},
	}
	for _, test := range tests {
		s := newSubmittedTestEnv(t)
		text := strings.Replace(yamlOf(t, testDocument()), test.old, test.edit, 1)
		code, _, errText := s.run(text, "-o", "json", "submit", "--base", "1")
		assert.Equal(t, code, exitInvalid, errText)
		var f errorOutput
		assert.NilError(t, json.Unmarshal([]byte(errText), &f))
		assert.Assert(t, len(f.Fields) > 0 && strings.HasPrefix(f.Fields[0].Error(), test.want), errText)
	}
}

// TestRolledBackRolloutUnblocksRoute guards against a rollout that blocks its route after it was rolled back.
func TestRolledBackRolloutUnblocksRoute(t *testing.T) {
	s := newSubmittedTestEnv(t)
	s.store.put("rollouts/r1", []byte(`{"id":"r1","state":"taken-back"}`))
	text := strings.Replace(yamlOf(t, testDocument()), "id: r1", "id: r2", 1)
	code, _, errText := s.run(text, "submit", "--base", "1")
	assert.Equal(t, code, exitDone, errText)
}
