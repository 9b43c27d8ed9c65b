package caller

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamFraming guards against truncated or merged events and against an incomplete stream that ends like a
// complete one.
func TestStreamFraming(t *testing.T) {
	tests := []struct {
		name   string
		events []string
		end    error
		want   string
	}{
		{"whole", []string{`{"a":1}`, `{"b":2}`}, io.EOF, "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n"},
		{"line breaks in an event", []string{"{\r\n}"}, io.EOF, "data: {\ndata: }\n\ndata: [DONE]\n\n"},
		{"broken", []string{`{"a":1}`}, errors.New("engine gone"), "data: {\"a\":1}\n\nevent: error\ndata: {\"error\":" +
			`{"type":"urn:mustardseam:problem:incomplete","title":"incomplete","status":502,"detail":"the answer is incomplete: engine gone","not-run":false}}` + "\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeScheduler()
			f.events, f.endErr = tt.events, tt.end
			resp, body := sendRequest(t, startServer(t, f, defaultConfig), "POST /v1/chat/completions", "", `{"stream":true,`+chatBody[1:])
			assert.Equal(t, resp.Header.Get("Content-Type"), "text/event-stream")
			assert.Equal(t, body, tt.want)
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, f.closed, 1)
		})
	}
}

// TestDisconnectReachesScheduler guards against a request that continues after its caller has disconnected.
func TestDisconnectReachesScheduler(t *testing.T) {
	for _, line := range []string{"POST /v1/chat/completions", "POST /services/leather/x"} {
		f := newFakeScheduler()
		f.disconnected = make(chan struct{})
		c, err := net.Dial("tcp", startServer(t, f, defaultConfig))
		assert.NilError(t, err)
		_, err = io.WriteString(c, line+" HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-1\r\nContent-Length: "+itoa(len(chatBody))+"\r\n\r\n"+chatBody)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		<-f.disconnected
	}
}

// TestPipelinedRequests guards against requests of one connection that are lost or mixed up by the watch for its close.
func TestPipelinedRequests(t *testing.T) {
	f := newFakeScheduler()
	addr := startServer(t, f, defaultConfig)
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	request := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-1\r\nContent-Length: " + itoa(len(chatBody)) + "\r\n\r\n" + chatBody
	last := strings.Replace(request, "Host: a", "Host: a\r\nConnection: close", 1)
	_, err = io.WriteString(c, request+request+request+last)
	assert.NilError(t, err)
	b, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(b), "HTTP/1.1 200"), 4)
}

// TestSlowClientTimeout guards against connections that stay open although their bytes arrive too slowly or not at all.
func TestSlowClientTimeout(t *testing.T) {
	tests := []struct{ name, text string }{
		{"no bytes", ""},
		{"partial header", "POST /v1/chat/completions HTTP/1.1\r\nHos"},
		{"idle after a response", "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"idle after a completion", "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-1\r\nContent-Length: 33\r\n\r\n{\"model\":\"sizing\",\"prompt\":\"hey\"}"},
		{"partial body", "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n{"},
	}
	addr := startServer(t, newFakeScheduler(), func(c *Config) { c.ReadTimeout, c.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, tt.text)
			assert.NilError(t, err)
			_, err = io.ReadAll(c) // Returns when the server closes the connection.
			assert.NilError(t, err)
		})
	}
}

// TestConnectionLimitResponse guards against an unlimited number of connections and against a refusal that callers
// cannot parse.
func TestConnectionLimitResponse(t *testing.T) {
	addr := startServer(t, newFakeScheduler(), func(c *Config) { c.MaxConns = 1 })
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
	resp, body := sendRequest(t, addr, "GET /v1/models", "", "")
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	assert.Assert(t, strings.Contains(body, `"not-run":true`), "%s", body)
}
