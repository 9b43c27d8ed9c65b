package peer

import (
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

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

func TestMain(m *testing.M) {
	// The HTTP libraries end these goroutines some seconds after the last connection.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

var (
	testKey     = []byte("current key")
	previousKey = []byte("previous key")
	testNow     = time.Unix(1_700_000_000, 0)
)

// fakeHandler grants every ask and records the last one.
type fakeHandler struct {
	mu      sync.Mutex
	lastAsk AskRequest // Guarded by mu.
}

func (h *fakeHandler) Ask(r AskRequest) AskAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastAsk = r
	return AskAnswer{Proto: CurrentProto(), Status: Granted, Epoch: 7, Permit: &pool.Permit{AskID: r.Ask.ID, Server: "sizing-v1-1"}}
}

// last returns the last ask.
func (h *fakeHandler) last() AskRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastAsk
}

func (h *fakeHandler) Outcomes(OutcomesRequest) Ack { return Ack{Proto: CurrentProto()} }
func (h *fakeHandler) Heartbeat(Heartbeat) Heartbeat {
	return Heartbeat{Proto: CurrentProto(), Revision: 4}
}

func (h *fakeHandler) Consent(ConsentRequest) ConsentAnswer {
	return ConsentAnswer{Proto: CurrentProto(), Given: true}
}

func (h *fakeHandler) Document(digest string) ([]byte, bool) { return []byte("doc"), digest == "d1" }

func (h *fakeHandler) Answer(request string) ([]byte, bool) { return []byte("kept"), request == "a/1" }

// startServer serves h on loopback until the test ends, and returns the address.
func startServer(t testing.TB, h Handler, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ServerConfig{Keys: [][]byte{testKey, previousKey, nil}, Handler: h, Now: func() time.Time { return testNow }})
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(wrap(ln)) })
	t.Cleanup(func() {
		_ = s.Close(time.Second)
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

func unwrapped(ln net.Listener) net.Listener { return ln }

// sendRequest sends a request with the given Authorization header and returns the status and body of the answer.
func sendRequest(t *testing.T, method, url, auth, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if auth != "" {
		req.Header.Set(authHeader, auth)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(b)
}

// TestServerRejectsUnauthenticatedCalls guards against calls without a valid signature, altered calls and replayed
// calls.
func TestServerRejectsUnauthenticatedCalls(t *testing.T) {
	const path, body = "/peer/v1/heartbeat", `{"proto":{"reads":[1,1],"writes":1}}`
	addr := startServer(t, &fakeHandler{}, unwrapped)
	good := sign(testKey, testNow, addr, "POST", path, []byte(body))
	tests := []struct {
		name, auth         string
		method, path, body string // As sent, where it differs from what was signed.
		status             int
	}{
		{name: "current key", auth: good, status: 200},
		{name: "the same call again", auth: good, status: 401},
		{name: "previous key", auth: sign(previousKey, testNow, addr, "POST", path, []byte(body)), status: 200},
		{name: "clock within the skew", auth: sign(testKey, testNow.Add(-maxSkew), addr, "POST", path, []byte(body)), status: 200},
		{name: "too old", auth: sign(testKey, testNow.Add(-maxSkew-time.Second), addr, "POST", path, []byte(body)), status: 401},
		{name: "too early", auth: sign(testKey, testNow.Add(maxSkew+time.Second), addr, "POST", path, []byte(body)), status: 401},
		{name: "another key", auth: sign([]byte("guess"), testNow, addr, "POST", path, []byte(body)), status: 401},
		{name: "empty key", auth: sign(nil, testNow, addr, "POST", path, []byte(body)), status: 401},
		{name: "no signature", status: 401},
		{name: "another scheme", auth: "Bearer " + strings.TrimPrefix(good, authScheme), status: 401},
		{name: "parts missing", auth: authScheme + "1700000000.abc", status: 401},
		{name: "no number", auth: authScheme + "x.abc.def", status: 401},
		{name: "no base64", auth: authScheme + "1700000000.abc.$$$", status: 401},
		{name: "short signature", auth: good[:len(good)-4], status: 401},
		{name: "recorded on the way to another instance", auth: sign(testKey, testNow, "127.0.0.1:1", "POST", path, []byte(body)), status: 401},
		{name: "altered body", auth: sign(testKey, testNow, addr, "POST", path, []byte(body)), body: body + " ", status: 401},
		{name: "altered path", auth: sign(testKey, testNow, addr, "POST", path, []byte(body)), path: "/peer/v1/done", status: 401},
		{name: "altered query", auth: sign(testKey, testNow, addr, "POST", path, []byte(body)), path: path + "?a=b", status: 401},
		{name: "altered method", auth: sign(testKey, testNow, addr, "PUT", path, []byte(body)), status: 401},
		{name: "unknown path of a stranger", path: "/debug", status: 401},
		{name: "unknown path of a peer", auth: sign(testKey, testNow, addr, "POST", "/debug", []byte(body)), path: "/debug", status: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			send, to := body, path
			if tt.body != "" {
				send = tt.body
			}
			if tt.path != "" {
				to = tt.path
			}
			status, _ := sendRequest(t, "POST", "http://"+addr+to, tt.auth, send)
			assert.Equal(t, status, tt.status)
		})
	}
}

// TestReplayCacheKeepsValidSignatures guards against a replay that is accepted after a change of generations, and
// against unbounded memory.
func TestReplayCacheKeepsValidSignatures(t *testing.T) {
	var s replayCache
	assert.Assert(t, s.add(testNow, [macBytes]byte{1}))
	later := testNow.Add(2*maxSkew + time.Second)
	assert.Assert(t, s.add(later, [macBytes]byte{2}))
	assert.Assert(t, !s.add(later, [macBytes]byte{1}))
	for n := range 3 * maxGenerationSize {
		s.add(later, [macBytes]byte{byte(n), byte(n >> 8), byte(n >> 16), 1})
	}
	assert.Assert(t, len(s.newGeneration)+len(s.oldGeneration) <= 2*maxGenerationSize)
}

// TestCanonicalAddr guards against two forms of one address, which would make the two sides sign different texts.
func TestCanonicalAddr(t *testing.T) {
	tests := []struct{ addr, want string }{
		{"10.0.0.1:80", "10.0.0.1:80"},
		{"[::ffff:10.0.0.1]:80", "10.0.0.1:80"},
		{"[2001:0db8::0001]:80", "[2001:db8::1]:80"},
		{"no address", "no address"},
	}
	for _, tt := range tests {
		assert.Equal(t, canonicalAddr(tt.addr), tt.want)
	}
}

// TestServerRejectsOtherVersions guards against a rolling upgrade in which instances of two versions misinterpret
// each other's messages.
func TestServerRejectsOtherVersions(t *testing.T) {
	const extra = `{"proto":{"reads":[1,3],"writes":1,"flags":["x"]},"region":"amman","pool":"models","hold-ms":9999999,` +
		`"ask":{"id":"a1","prefix":[1,2],"colour":"blue"},"left-ms":1000,"new":{"deep":[1]}}`
	tests := []struct {
		name, body string
		status     int
		text       string // Contained in the answer.
	}{
		{"version 1 with unknown members", extra, 200, `"status":"granted"`},
		{"writes version 2 only", `{"proto":{"reads":[2,2],"writes":2}}`, 426, `"reads":[1,1]`},
		{"version 2 with members of other types", `{"proto":{"reads":[1,2],"writes":2},"ask":[1]}`, 426, `"reads":[1,1]`},
		{"reads version 2 only", `{"proto":{"reads":[2,2],"writes":1}}`, 426, `"reads":[1,1]`},
		{"no version", `{"region":"amman"}`, 426, `"reads":[1,1]`},
		{"wrong type", `{"proto":{"reads":[1,1],"writes":1},"ask":[1]}`, 400, "ask"},
		{"cut block hash", `{"proto":{"reads":[1,1],"writes":1},"blocks":"AAAA"}`, 400, "blocks"},
		{"no JSON", `proto`, 400, "invalid JSON"},
		{"empty", ``, 400, "invalid JSON"},
	}
	h := &fakeHandler{}
	addr := startServer(t, h, unwrapped)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const path = "/peer/v1/ask"
			status, body := sendRequest(t, "POST", "http://"+addr+path, sign(testKey, testNow, addr, "POST", path, []byte(tt.body)), tt.body)
			assert.Equal(t, status, tt.status, "%s", body)
			assert.Assert(t, strings.Contains(body, tt.text), "%s", body)
		})
	}
	assert.Equal(t, h.last().Ask.ID, "a1")
	assert.DeepEqual(t, h.last().Ask.Prefix, []uint64{1, 2})
	assert.Equal(t, h.last().HoldMS, maxHold.Milliseconds(), "a peer cannot hold a call for longer")
}

// TestMessageSizeLimits guards against messages that would exhaust the memory, even before the sender is
// authenticated.
func TestMessageSizeLimits(t *testing.T) {
	addr := startServer(t, &fakeHandler{}, unwrapped)
	tests := []struct {
		name, header, body string
		status             int
	}{
		{"body", "", strings.Repeat("x", maxBodyBytes+1), 413},
		{"header", strings.Repeat("x", maxHeaderBytes), "", 431},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			go func() {
				_, _ = io.WriteString(c, "POST /peer/v1/ask HTTP/1.1\r\nHost: a\r\nX-A: "+tt.header+"\r\nContent-Length: 2097153\r\n\r\n"+tt.body)
			}()
			var line [12]byte
			_, err = io.ReadFull(c, line[:])
			assert.NilError(t, err)
			assert.Equal(t, string(line[:]), fmt.Sprintf("HTTP/1.1 %d", tt.status))
		})
	}
}
