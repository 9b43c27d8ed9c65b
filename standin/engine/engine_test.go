package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// fasthttp ends the first goroutine some seconds after the last connection and keeps the second one, the clock of
	// the Date header, until the process exits.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// start serves an engine on loopback. It returns the engine and a function that calls it and returns status and body,
// or the error of a broken connection.
func start(t *testing.T, cfg Config) (*Engine, func(method, path, body string) (int, string, error)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cfg.Step = time.Millisecond
	e := New(cfg)
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.Serve(ln) })
	t.Cleanup(func() {
		_ = ln.Close()
		e.Close()
		wg.Wait()
	})
	return e, func(method, path, body string) (int, string, error) {
		req, err := http.NewRequest(method, "http://"+ln.Addr().String()+path, strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("X-Request-Id", "r1")
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), err
	}
}

const (
	streaming    = `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`
	nonStreaming = `{"model":"m","max_tokens":4,"prompt":["hi"]}`
)

// TestFaultsHaveTheNamedEffect guards against an injected fault with another effect than its name says, which would
// invalidate the tests of instances that use it.
func TestFaultsHaveTheNamedEffect(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		status int  // 0 for a broken connection.
		whole  bool // The answer has its end.
		runs   int
	}{
		{"none", Faults{}, 200, true, 1},
		{"refuse", Faults{Refuse: true}, 503, false, 0},
		{"down", Faults{Down: true}, 0, false, 0},
		{"answer lost", Faults{LoseAnswer: 1}, 0, false, 1},
		{"fails", Faults{FailEvery: 1}, 500, false, 1},
		{"fails on another route", Faults{FailEvery: 1, Route: "other"}, 200, true, 1},
		{"fails under load", Faults{FailEvery: 1, LoadAbove: 3}, 200, true, 1},
		{"breaks", Faults{BreakAt: 2}, 0, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, call := start(t, Config{})
			e.SetFaults(tt.faults)
			status, body, err := call("POST", "/v1/chat/completions", streaming)
			if tt.status == 0 {
				assert.Assert(t, err != nil)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, status, tt.status)
			}
			assert.Equal(t, strings.HasSuffix(body, "data: [DONE]\n\n"), tt.whole, "%s", body)
			assert.Equal(t, e.Stats().PerID["r1"], tt.runs)
		})
	}
}

// TestResumeContinuesAfterBreak guards against a resumed stream that repeats or skips tokens, and against a cancelled
// stream that appears to be complete when it is resumed.
func TestResumeContinuesAfterBreak(t *testing.T) {
	e, call := start(t, Config{})
	e.SetFaults(Faults{BreakAt: 2})
	_, head, err := call("POST", "/v1/chat/completions", streaming)
	assert.Assert(t, err != nil)
	// Sent tokens may be lost with the connection, so the client resumes after the last token received.
	have := strings.Count(head, "data: ")
	assert.Assert(t, have <= 2, "%s", head)
	status, rest, err := call("GET", fmt.Sprintf("/resume/r1?after=%d", have), "")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	for n := range 4 {
		assert.Equal(t, strings.Count(head+rest, fmt.Sprintf(".%d ", n)), 1, "%s%s", head, rest)
	}
	assert.Assert(t, strings.HasSuffix(rest, "data: [DONE]\n\n"))
	e.SetFaults(Faults{HangAfter: 1})
	done := make(chan string)
	go func() {
		_, body, _ := call("POST", "/v1/chat/completions", streaming)
		done <- body
	}()
	for e.Stats().Admitted < 2 {
		time.Sleep(time.Millisecond)
	}
	status, _, err = call("POST", "/cancel/r1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 204)
	assert.Assert(t, !strings.Contains(<-done, "DONE"))
	status, _, err = call("GET", "/resume/r1?after=1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 410)
	status, _, _ = call("GET", "/resume/other", "")
	assert.Equal(t, status, 404)
}

// TestStaleOrdersAreRefusedOrCounted guards against an engine that executes an order with a stale fencing token without
// counting it.
func TestStaleOrdersAreRefusedOrCounted(t *testing.T) {
	tests := []struct {
		name                    string
		checks                  bool
		status                  int
		version                 string
		orders, stale, refusals int
	}{
		{"checks tokens", true, 409, "v2", 1, 0, 1},
		{"ignores tokens", false, 204, "v3", 2, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, call := start(t, Config{Version: "v1", ChecksFencing: tt.checks})
			status, _, err := call("POST", "/orders", `{"kind":"load-version","name":"v2","fencing-token":5}`)
			assert.NilError(t, err)
			assert.Equal(t, status, 204)
			status, _, _ = call("POST", "/orders", `{"kind":"load-version","name":"v3","fencing-token":4}`)
			assert.Equal(t, status, tt.status)
			status, _, _ = call("POST", "/orders", `{"kind":"explode","fencing-token":6}`)
			assert.Equal(t, status, 400)
			version, _, _ := e.Holds()
			assert.Equal(t, version, tt.version)
			s := e.Stats()
			assert.DeepEqual(t, []int{s.Orders, s.StaleOrders, s.Refused}, []int{tt.orders, tt.stale, tt.refusals})
		})
	}
}

// TestColdStartLimit guards against an engine that accepts requests above its cold limit while it is cold, or stays
// cold.
func TestColdStartLimit(t *testing.T) {
	e, call := start(t, Config{ColdFor: 2, ColdLimit: 0})
	status, _, _ := call("POST", "/v1/completions", nonStreaming)
	assert.Equal(t, status, 500)
	assert.Equal(t, e.Stats().OverCold, 1)
	e, call = start(t, Config{ColdFor: 2, ColdLimit: 1})
	for range 2 {
		status, body, err := call("POST", "/v1/completions", nonStreaming)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Assert(t, strings.Contains(body, `"text":"`), "%s", body)
	}
	e.mu.Lock()
	assert.Equal(t, e.coldLeft, 0)
	e.mu.Unlock()
	e.Chill()
	assert.Equal(t, e.Stats().OverCold, 0)
}

// TestCacheEventLagGapsAndLimit guards against cache events that are published too early, without the injected gaps, or
// kept without limit.
func TestCacheEventLagGapsAndLimit(t *testing.T) {
	now := time.Unix(100, 0)
	l := eventLog{limit: 3}
	for n := range 6 {
		l.add(now.Add(time.Duration(n)*time.Second), uint64(n), false, 4)
	}
	var numbers []uint64
	for _, e := range l.after(1, now.Add(4*time.Second)) {
		numbers = append(numbers, e.Number)
	}
	assert.DeepEqual(t, numbers, []uint64{2, 3, 5})
	for n := range 100 {
		l.add(now, uint64(n), true, 0)
	}
	assert.Assert(t, len(l.list) <= 6)
	_, call := start(t, Config{CacheBlocks: 1, EventLag: time.Hour})
	_, _, err := call("POST", "/v1/completions", fmt.Sprintf(`{"max_tokens":1,"prompt":%q}`, strings.Repeat("x", 200)))
	assert.NilError(t, err)
	_, body, err := call("GET", "/cache-events?after=0", "")
	assert.NilError(t, err)
	assert.Equal(t, body, "[]")
	var load Load
	_, body, _ = call("GET", "/load", "")
	assert.NilError(t, json.Unmarshal([]byte(body), &load))
}

// TestEndedStreamsAreEvicted guards against memory use that grows with every request.
func TestEndedStreamsAreEvicted(t *testing.T) {
	e, call := start(t, Config{Remember: 2})
	for n := range 9 {
		s := newStream(fmt.Sprint(n), true, request{MaxTokens: 1})
		s.stop(completed)
		e.mu.Lock()
		e.retain(s)
		assert.Assert(t, len(e.streams) <= 2)
		e.mu.Unlock()
	}
	status, _, _ := call("GET", "/resume/1", "")
	assert.Equal(t, status, 404)
}
