package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

func TestMain(m *testing.M) {
	// The HTTP library ends the first goroutine itself some seconds after the last connection, and keeps the clock of its
	// date header for the life of the process.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

var testNow = time.Unix(1_700_000_000, 0)

// fake answers each request with the same events, or with a problem.
type fake struct {
	cfg     *revision.Config
	problem *Problem
	status  int
	header  map[string]string
	body    string
	events  []string
	end     error         // After the events.
	hang    chan struct{} // When set, closes when the caller of a waiting request has gone.

	mu     sync.Mutex
	last   Request // Guarded by mu.
	opened int     // Guarded by mu.
	closed int     // Guarded by mu.
}

func newFake() *fake {
	d := operator.New().
		WithTier(operator.Tier{Name: "fitting", Rank: 0}).WithTier(operator.Tier{Name: "notes", Rank: 2}).
		WithTeam(operator.NewTeam(operator.TeamConfig{Name: "bridal", Tiers: []string{"fitting", "notes"}, Keys: []string{"key-1"}})).
		WithPool(operator.Pool{Name: "models", Kind: operator.Engines}).
		WithPool(operator.Pool{Name: "orders", Kind: operator.Services}).
		WithRoute(operator.Route{Name: "sizing", Pool: "models", Timeout: 20}).
		WithRoute(operator.Route{Name: "leather", Pool: "orders", NonIdempotent: true})
	return &fake{cfg: revision.NewConfig(1, "d", nil, d), status: 200, body: `{"ok":1}`, events: []string{`{"a":1}`}, end: io.EOF}
}

// Config returns the configuration.
func (f *fake) Config() *revision.Config { return f.cfg }

// Open notes the request.
func (f *fake) Open(r Request) (Exchange, *Problem) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = r
	f.opened++
	if f.hang != nil {
		<-r.Gone
		close(f.hang)
	}
	return &exchange{f: f}, f.problem
}

func (f *fake) request() Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// exchange is the answer of a fake.
type exchange struct {
	f  *fake
	at int
}

// Head returns status and headers.
func (x *exchange) Head() (int, map[string]string) { return x.f.status, x.f.header }

// Whole returns the body.
func (x *exchange) Whole() ([]byte, *Problem) { return []byte(x.f.body), nil }

// Next returns the next event.
func (x *exchange) Next() ([]byte, error) {
	if x.at == len(x.f.events) {
		return nil, x.f.end
	}
	x.at++
	return []byte(x.f.events[x.at-1]), nil
}

// Close counts.
func (x *exchange) Close() {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.closed++
}

// start serves f on loopback until the test ends.
func start(t testing.TB, f *fake, change func(*Config)) string {
	t.Helper()
	cfg := Config{
		Scheduler: f, BodyBytes: 64 << 10, HeaderBytes: 4 << 10, Connections: 64, Idle: time.Minute, Request: 30 * time.Second,
		Now: func() time.Time { return testNow },
	}
	change(&cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(cfg)
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ln) })
	t.Cleanup(func() {
		_ = s.Close(time.Second)
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

func unchanged(*Config) {}

// raw sends bytes on a connection of its own and returns the response with its body read.
func raw(t *testing.T, addr, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, text) }()
	method, _, _ := strings.Cut(text, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(b)
}

// send makes a request with the headers, one per line, beside the key and the length.
func send(t *testing.T, addr, line, headers, body string) (*http.Response, string) {
	t.Helper()
	text := line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers
	if !strings.HasPrefix(headers, "Authorization:") {
		text += "Authorization: Bearer key-1\r\n"
	}
	return raw(t, addr, text+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}
