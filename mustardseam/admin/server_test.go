package admin

import (
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// The HTTP library ends the first goroutine some seconds after the last connection, and keeps the second one, which
	// updates the time of the Date header, for the life of the process.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// TestEndpoints guards against a load balancer or an operator that gets the wrong state.
func TestEndpoints(t *testing.T) {
	var ready atomic.Bool
	var metrics expvar.Map
	metrics.Add("requests", 3)
	s := New(Config{
		Ready: ready.Load, Metrics: metrics.Init(),
		State: func() any { return map[string]any{"revision": 7} },
	})
	metrics.Add("requests", 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ln) })
	defer wg.Wait()
	defer func() { _ = s.Close(time.Second) }()
	tests := []struct {
		name, method, path, body string
		ready                    bool
		status                   int
		want                     string
	}{
		{"live before ready", "GET", "/live", "", false, 200, "live\n"},
		{"not ready", "GET", "/ready", "", false, 503, "not ready\n"},
		{"ready", "GET", "/ready", "", true, 200, "ready\n"},
		{"state", "GET", "/state", "", true, 200, `{"revision":7}`},
		{"metrics", "GET", "/metrics", "", true, 200, `{"requests": 3}`},
		{"POST is refused", "POST", "/state", "{}", true, 405, "Method Not Allowed"},
		{"unknown path", "GET", "/debug/vars", "", true, 404, "Not Found"},
		{"large body", "POST", "/state", strings.Repeat("x", maxBodyBytes+1), true, 413, "Request Entity Too Large"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ready.Store(tt.ready)
			req, err := http.NewRequest(tt.method, "http://"+ln.Addr().String()+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			req.Close = true
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, string(b), tt.want)
			if strings.HasPrefix(tt.want, "{") {
				assert.Assert(t, json.Valid(b))
				assert.Assert(t, strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json"))
			}
		})
	}
}
