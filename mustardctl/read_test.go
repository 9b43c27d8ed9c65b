package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

func testState(t *testing.T) state {
	var s state
	assert.NilError(t, json.Unmarshal([]byte(`{"instance":"i1","revision":1,"digest":"ab","new-member":[1,2],"marks":[],
		"members":{"self":{"id":"i1","incarnation":"a","revision":1},"listed":[{"id":"i9"}],"members":[
		{"id":"i2","incarnation":"b","admin-address":"127.0.0.1:2","revision":0}]},
		"pools":{"sizing":{"home":{"epoch":7,"home":"i1"},"waiting":3}},"rollouts":[]}`), &s))
	return s
}

// TestStatusWithFailingSource guards against a missing state of servers, rollouts or instances, and against a failing
// source that hides the part of the other one.
func TestStatusWithFailingSource(t *testing.T) {
	s := newSubmittedTestEnv(t)
	s.states["127.0.0.1:1"] = testState(t)
	s.store.put("rollouts/r1", []byte(`{"share":0.05,"other":1,"state":"late"}`))
	s.run("", "drain", "data-centre", "amman-2")
	code, out, errText := s.run("", "--admin", "127.0.0.1:1", "status")
	assert.Equal(t, code, exitDone, errText)
	for _, line := range []string{
		"model  r1  v1    v2  0.05   late   2026-05-01T07:00:00Z",
		"amman-2  amman   out-of-service  1",
		"e2    sizing  amman-2      v2       4      data-centre-out",
		"i2  0         127.0.0.1:2    b",
	} {
		assert.Assert(t, is.Contains(out, line))
	}
	s.states["127.0.0.1:1"]["marks"] = []byte(`["r1"]`)
	_, out, _ = s.run("", "--admin", "127.0.0.1:1", "status")
	assert.Assert(t, is.Contains(out, "model  r1  v1    v2  0      taken-back"))
	s.store.down = true
	code, out, _ = s.run("", "--admin", "127.0.0.1:1", "status")
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, is.Contains(out, "i2  0         127.0.0.1:2    b"))
}

// TestDumpPrintsUnknownMembers guards against members that are not printed because this version of the tool does not
// know them.
func TestDumpPrintsUnknownMembers(t *testing.T) {
	s := newTestEnv(t)
	s.states["127.0.0.1:1"], s.states["127.0.0.1:2"] = testState(t), state{"instance": []byte(`"i2"`)}
	code, out, errText := s.run("", "dump", "127.0.0.1:1")
	assert.Equal(t, code, exitDone, errText)
	assert.Assert(t, is.Regexp(`(?s)new-member +\[1,2\].*MEMBERS\.MEMBERS\n.*i2 +0 .*POOLS\n.*HOME\.EPOCH.*sizing +7 +i1 +3`, out))
	code, out, errText = s.run("", "--admin", "127.0.0.1:1", "-o", "json", "dump", "i2")
	assert.Equal(t, code, exitDone, errText)
	assert.Equal(t, out, "{\n  \"instance\": \"i2\"\n}\n")
	code, _, _ = s.run("", "--admin", "127.0.0.1:1", "dump", "i9")
	assert.Equal(t, code, exitFailed)
}

// TestEventsPrintedOnceDespiteOutage guards against events that are missed, printed twice, or lost to an outage of the
// store.
func TestEventsPrintedOnceDespiteOutage(t *testing.T) {
	s := newSubmittedTestEnv(t)
	s.run("", "drain", "data-centre", "amman-2")
	s.run("", "restore", "data-centre", "amman-2")
	s.store.put("rollouts/r1", []byte(`{"events":[{"kind":"taken-back","time":"2026-05-01T15:05:00+09:00","text":"failures"}]}`))
	code, out, errText := s.run("", "events")
	assert.Equal(t, code, exitDone, errText)
	assert.Assert(t, is.Regexp(`06:00:00Z +data-centre-out +amman-2 +2 +amal\n\S+ +data-centre-back +amman-2 +3 +amal\n`+
		`2026-05-01T06:05:00Z +rollout-taken-back +r1 +- +failures\n$`, out))
	ctx, cancel := context.WithCancel(t.Context())
	reads := 0
	s.ctx, s.store.onList = ctx, func() {
		reads++
		s.store.down = reads == 2
		if reads == 3 {
			cancel()
		}
	}
	code, out, errText = s.run("", "events", "--follow")
	assert.Equal(t, code, exitDone, errText)
	assert.Equal(t, strings.Count(out, "\n"), 3, out)
	assert.Assert(t, is.Contains(errText, "trying again"))
}

// TestHistoryRevisionsCanBeRead guards against a listed revision that cannot be read, and against output for a revision
// that does not exist.
func TestHistoryRevisionsCanBeRead(t *testing.T) {
	s := newSubmittedTestEnv(t)
	s.run("", "drain", "backend-server", "e1")
	_, out, _ := s.run("", "history")
	assert.Assert(t, is.Regexp(`(?s)^REVISION.*\n2 .*amal.*\n1 .*amal`, out))
	code, out, errText := s.run("", "get", "--revision", "1")
	assert.Equal(t, code, exitDone, errText)
	assert.Equal(t, out, "# revision: 1\n# base-revision: 2\n"+yamlOf(t, testDocument()))
	code, _, errText = s.run("", "get", "--revision", "7")
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, is.Contains(errText, "revision 7 is not among the last 2"))
}

// TestSettingsFileReadStrictly guards against a settings file that is ignored, that overrides a flag, or whose invalid
// members are accepted.
func TestSettingsFileReadStrictly(t *testing.T) {
	s := newSubmittedTestEnv(t)
	path := filepath.Join(t.TempDir(), "ctl.yaml")
	t.Setenv("MUSTARDCTL_CONFIG", path)
	assert.NilError(t, os.WriteFile(path, []byte("output: json\ntimeout: 3s\n"), 0o600))
	_, out, _ := s.run("", "history")
	assert.Assert(t, strings.HasPrefix(out, "{"))
	_, out, _ = s.run("", "-o", "table", "history")
	assert.Assert(t, strings.HasPrefix(out, "REVISION"))
	assert.NilError(t, os.WriteFile(path, []byte("output: xml\nstor: x\n"), 0o600))
	code, _, errText := s.run("", "history")
	assert.Equal(t, code, exitInvalid)
	assert.Assert(t, is.Contains(errText, "line 2: stor: unknown member"))
	assert.Assert(t, is.Contains(errText, "line 1: output: must be table or json"))
	code, _, _ = s.run("", "submit", "--bse", "3")
	assert.Equal(t, code, exitUsage)
}
