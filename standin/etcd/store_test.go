package etcd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// fasthttp ends the first goroutine some seconds after the last connection and keeps the second one, the clock of
	// the Date header, until the process exits.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// start serves a store on loopback and returns the store and a function that sends a request to it.
func start(t *testing.T) (*Store, func(path, body string) (*http.Response, error)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New()
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ln) })
	t.Cleanup(func() {
		_ = ln.Close()
		s.SetFaults(Faults{Down: true}) // Ends the watches.
		wg.Wait()
	})
	return s, func(path, body string) (*http.Response, error) {
		req, err := http.NewRequest("POST", "http://"+ln.Addr().String()+path, strings.NewReader(body))
		assert.NilError(t, err)
		req.Close = true
		return http.DefaultClient.Do(req)
	}
}

// read returns the status and body of a response, with status 0 for a broken connection.
func read(resp *http.Response, err error) (int, string) {
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// TestCallsAndFaults guards against a store that accepts calls which etcd refuses, and against an injected fault with
// another effect than its name says.
func TestCallsAndFaults(t *testing.T) {
	swap := func(c string) string {
		return `{"compare":[` + c + `],"success":[{"requestPut":{"key":"YQ==","value":"Mg=="}}]}`
	}
	tests := []struct {
		name, path, body string
		faults           Faults
		status           int
		text             string
		written          bool
	}{
		{"swap", "/v3/kv/txn", swap(`{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"1"}`), Faults{}, 200, `"succeeded":true`, true},
		{"swap of another revision", "/v3/kv/txn", swap(`{"key":"YQ==","target":"MOD","mod_revision":"2"}`), Faults{}, 200, `"succeeded":false`, false},
		{"swap of a new key", "/v3/kv/txn", swap(`{"key":"YQ==","target":"CREATE","result":"EQUAL"}`), Faults{}, 200, `"succeeded":false`, false},
		{"swap by version", "/v3/kv/txn", swap(`{"key":"YQ==","target":"VERSION","result":"GREATER","version":0}`), Faults{}, 200, `"succeeded":true`, true},
		{"unknown comparison", "/v3/kv/txn", swap(`{"key":"YQ==","target":"LEASE"}`), Faults{}, 400, "not supported", false},
		{"unknown lease", "/v3/kv/put", `{"key":"YQ==","value":"Mg==","lease":"77"}`, Faults{}, 404, "lease not found", false},
		{"large value", "/v3/kv/put", `{"key":"YQ==","value":"` + strings.Repeat("MTEx", maxValueBytes/3+1) + `"}`, Faults{}, 400, "too large", false},
		{"no key", "/v3/kv/range", `{}`, Faults{}, 400, "key is not provided", false},
		{"no JSON", "/v3/kv/put", `{`, Faults{}, 400, "error", false},
		{"down", "/v3/kv/txn", swap(""), Faults{Down: true}, 503, "etcdserver: no leader", false},
		{"beyond the rate", "/v3/kv/txn", swap(""), Faults{Rate: 1}, 429, "too many requests", false},
		{"lost before", "/v3/kv/txn", swap(""), Faults{LoseWrite: 1}, 0, "", false},
		{"lost after", "/v3/kv/txn", swap(""), Faults{LoseAnswer: 1}, 0, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, call := start(t)
			status, _ := read(call("/v3/kv/put", `{"key":"YQ==","value":"MQ=="}`))
			assert.Equal(t, status, 200)
			s.SetFaults(tt.faults)
			status, body := read(call(tt.path, tt.body))
			assert.Equal(t, status, tt.status, "%s", body)
			assert.Assert(t, strings.Contains(body, tt.text), "%s", body)
			s.SetFaults(Faults{})
			_, body = read(call("/v3/kv/range", `{"key":"AA==","range_end":"AA=="}`))
			assert.Equal(t, strings.Contains(body, `"value":"Mg=="`), tt.written, "%s", body)
			assert.Assert(t, s.Calls() >= 3)
		})
	}
}

// TestLeaseExpiry guards against keys that outlive their lease, and leases that expire although they are renewed.
func TestLeaseExpiry(t *testing.T) {
	s, call := start(t)
	_, body := read(call("/v3/lease/grant", `{"TTL":"60"}`))
	assert.Assert(t, strings.Contains(body, `"ID":"1","TTL":"60"`), "%s", body)
	_, _ = read(call("/v3/kv/put", `{"key":"YQ==","lease":1}`))
	_, body = read(call("/v3/lease/keepalive", `{"ID":"1"}`))
	assert.Assert(t, strings.Contains(body, `"TTL":"60"`), "%s", body)
	s.ExpireLeases()
	_, body = read(call("/v3/kv/range", `{"key":"YQ=="}`))
	assert.Assert(t, strings.Contains(body, `"count":"0"`), "%s", body)
	_, body = read(call("/v3/lease/keepalive", `{"ID":"1"}`))
	assert.Assert(t, strings.Contains(body, `"TTL":"0"`), "%s", body)
}

// TestWatchMissesNoChange guards against a watch that misses changes, continues after DropWatches, or starts at a
// compacted revision.
func TestWatchMissesNoChange(t *testing.T) {
	s, call := start(t)
	for range 3 {
		_, _ = read(call("/v3/kv/put", `{"key":"YQ=="}`))
	}
	resp, err := call("/v3/watch", `{"create_request":{"key":"YQ==","range_end":"Yg==","start_revision":"2"}}`)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	hello, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(hello, `"created":true`) && strings.Contains(hello, `"revision":"3"`), "%s", hello)
	line, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, `"mod_revision":"2"`) && strings.Contains(line, `"mod_revision":"3"`), "%s", line)
	s.DropWatches()
	_, err = io.ReadAll(r)
	assert.NilError(t, err)
	s.Compact()
	_, body := read(call("/v3/watch", `{"create_request":{"key":"YQ==","start_revision":"2"}}`))
	assert.Assert(t, strings.Contains(body, `"canceled":true,"compact_revision":"4"`), "%s", body)
}
