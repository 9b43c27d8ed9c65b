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
	// The HTTP library ends the first goroutine some seconds after the last connection, and keeps the second one, which
	// updates the time of the Date header, for the life of the process.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

var testNow = time.Unix(1_700_000_000, 0)

// fakeScheduler answers each request with the same body or events, or with a problem.
type fakeScheduler struct {
	cfg          *revision.Config
	problem      *Problem
	status       int
	header       map[string]string
	body         string
	events       []string
	endErr       error         // Returned after the last event; io.EOF for a complete stream.
	disconnected chan struct{} // If not nil, Open waits until the caller disconnects and then closes it.

	mu          sync.Mutex
	lastRequest Request // Last request passed to Open; guarded by mu.
	opened      int     // Number of calls of Open; guarded by mu.
	closed      int     // Number of closed exchanges; guarded by mu.
}

func newFakeScheduler() *fakeScheduler {
	d := operator.New().
		WithTier(operator.Tier{Name: "fitting", Rank: 0}).WithTier(operator.Tier{Name: "notes", Rank: 2}).
		WithTeam(operator.NewTeam(operator.TeamConfig{Name: "bridal", Tiers: []string{"fitting", "notes"}, Keys: []string{"key-1"}})).
		WithPool(operator.Pool{Name: "models", Kind: operator.Engines}).
		WithPool(operator.Pool{Name: "orders", Kind: operator.Services}).
		WithRoute(operator.Route{Name: "sizing", Pool: "models", Timeout: 20}).
		WithRoute(operator.Route{Name: "leather", Pool: "orders", NonIdempotent: true})
	return &fakeScheduler{cfg: revision.NewConfig(1, "d", nil, d), status: 200, body: `{"ok":1}`, events: []string{`{"a":1}`}, endErr: io.EOF}
}

// Config returns the configuration.
func (f *fakeScheduler) Config() *revision.Config { return f.cfg }

// Handle records the request.
func (f *fakeScheduler) Handle(r Request) (Exchange, *Problem) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRequest = r
	f.opened++
	if f.disconnected != nil {
		<-r.Disconnected
		close(f.disconnected)
	}
	return &fakeExchange{scheduler: f}, f.problem
}

func (f *fakeScheduler) last() Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRequest
}

// fakeExchange is the answer of a fakeScheduler.
type fakeExchange struct {
	scheduler *fakeScheduler
	next      int // Index of the next event.
}

// Head returns status and headers.
func (x *fakeExchange) Head() (int, map[string]string) { return x.scheduler.status, x.scheduler.header }

// ReadAll returns the body.
func (x *fakeExchange) ReadAll() ([]byte, *Problem) { return []byte(x.scheduler.body), nil }

// Next returns the next event.
func (x *fakeExchange) Next() ([]byte, error) {
	if x.next == len(x.scheduler.events) {
		return nil, x.scheduler.endErr
	}
	x.next++
	return []byte(x.scheduler.events[x.next-1]), nil
}

// Close counts the closed exchanges.
func (x *fakeExchange) Close() {
	x.scheduler.mu.Lock()
	defer x.scheduler.mu.Unlock()
	x.scheduler.closed++
}

// startServer serves the scheduler on loopback until the end of the test and returns the address.
func startServer(t testing.TB, scheduler *fakeScheduler, change func(*Config)) string {
	t.Helper()
	cfg := Config{
		Scheduler: scheduler, MaxBodyBytes: 64 << 10, MaxHeaderBytes: 4 << 10, MaxConns: 64, IdleTimeout: time.Minute, RequestTimeout: 30 * time.Second,
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

func defaultConfig(*Config) {}

// sendRaw sends text on a new connection and returns the response and its body.
func sendRaw(t *testing.T, addr, text string) (*http.Response, string) {
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

// sendRequest sends a request with the given header lines, a Content-Length and, unless the headers begin with another
// one, the Authorization of the test team.
func sendRequest(t *testing.T, addr, line, headers, body string) (*http.Response, string) {
	t.Helper()
	text := line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers
	if !strings.HasPrefix(headers, "Authorization:") {
		text += "Authorization: Bearer key-1\r\n"
	}
	return sendRaw(t, addr, text+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}
