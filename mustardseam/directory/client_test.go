package directory

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// fasthttp ends these goroutines itself some seconds after the client's last connection.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// serve starts a server that gives the same answer to every request and stores the path of the last request in path.
func serve(t *testing.T, status int, header, body string, path *string) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*path = r.RequestURI
		if header != "" {
			w.Header().Set("Retry-After", header)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return New(s.Listener.Addr().String())
}

// TestInstancesRejectsMalformedList guards against a malformed list that is read as a list without instances: every
// instance would count as stopped.
func TestInstancesRejectsMalformedList(t *testing.T) {
	const entry = `{"id":"a","address":"10.0.0.1:1","data-centre":"dc","state":"leaving","rack":7}`
	tests := []struct {
		name, body string
		status     int
		n          int // Expected number of instances; -1 for an error.
	}{
		{"one", "[" + entry + "]", 200, 1},
		{"empty", "[]", 200, 0},
		{"null", "null", 200, -1},
		{"no list", entry, 200, -1},
		{"no address", `[` + entry + `,{"id":"b"}]`, 200, -1},
		{"cut off", "[" + entry, 200, -1},
		{"error", "[]", 500, -1},
		{"too long", "[" + strings.Repeat(" ", maxAnswer) + "]", 200, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var path string
			list, err := serve(t, tt.status, "", tt.body, &path).Instances()
			assert.Equal(t, err != nil, tt.n < 0, "%v", err)
			assert.Equal(t, len(list), max(tt.n, 0))
			if tt.n == 1 {
				assert.DeepEqual(t, list[0], Instance{ID: "a", Address: "10.0.0.1:1", DataCentre: "dc", State: "leaving"})
				assert.Assert(t, list[0].Leaving())
			}
		})
	}
}

// TestWeightsReturnsRetryDelay guards against a load that is repeated without delay although the rate limit is reached.
func TestWeightsReturnsRetryDelay(t *testing.T) {
	tests := []struct {
		name, header string
		status       int
		least, most  time.Duration
		fails        bool
	}{
		{"loaded", "", 200, 0, 0, false},
		{"seconds", "7", 429, 7 * time.Second, 7 * time.Second, false},
		{"no header", "", 429, minRetry, minRetry, false},
		{"no number", "soon", 429, minRetry, minRetry, false},
		{"negative", "-7", 429, minRetry, minRetry, false},
		{"huge", "99999999", 429, maxRetry, maxRetry, false},
		{"date", time.Now().Add(time.Hour).UTC().Format(http.TimeFormat), 429, maxRetry, maxRetry, false},
		{"date that has passed", "Mon, 02 Jan 2006 15:04:05 GMT", 429, minRetry, minRetry, false},
		{"fails", "", 500, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var path string
			retry, err := serve(t, tt.status, tt.header, "", &path).RequestWeights("sizing/v2")
			assert.Equal(t, err != nil, tt.fails, "%v", err)
			assert.Assert(t, retry >= tt.least && retry <= tt.most, "%v", retry)
			assert.Equal(t, path, "/weights/sizing%2Fv2")
		})
	}
}
