package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// maxSentBytes is how much a backend server may be able to send before its connection is closed: the longest response plus
// the socket buffers.
const maxSentBytes = 32 << 20

// startEndlessServer starts a backend server that responds to a request with prefix and then with repeat, over and over
// with a delay in between, until its connection is closed. It counts the repeated bytes that it could write in sent, and
// closes the channel closed when its connection has ended.
func startEndlessServer(t *testing.T, prefix, repeat string, delay time.Duration) (
	s *fleet.Server, sent *atomic.Int64, closed <-chan struct{},
) {
	t.Helper()
	sent, ended := &atomic.Int64{}, make(chan struct{})
	return startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err != nil {
			return
		}
		defer close(ended)
		_, err := io.WriteString(c, prefix)
		for err == nil {
			var n int
			n, err = io.WriteString(c, repeat)
			sent.Add(int64(n))
			time.Sleep(delay)
		}
	}), sent, ended
}

// TestEndlessResponseIsBounded guards against backend servers that send endless or malformed data: it must not occupy
// memory without limit or keep a request beyond its deadline, and must not be returned as a complete response.
func TestEndlessResponseIsBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: r\r\n"
	long := strings.Repeat("x", 4096)
	tests := []struct{ name, prefix, repeat, trickle string }{
		{"status line", "HTTP/1.1 200 ", long, "x"},
		{"no status line", "", long, "x"},
		{"empty lines", "", strings.Repeat("\r\n", 2048), "\r\n"},
		{"one field", ok + "A: ", long, "x"},
		{"fields", ok, strings.Repeat("A: b\r\n", 512), "A: b\r\n"},
		{"interim responses", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 128), "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\n"},
		{"long response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", long, "x"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096), "0"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n3;", long, "x"},
		{"chunk extensions", ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n", "1;x\r\na\r\n"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", strings.Repeat("A: b\r\n", 512), "A: b\r\n"},
		{"one trailer", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: ", long, "x"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + long + "\r\n", "1\r\nx\r\n"},
		{"no length", ok + "\r\n", long, "x"},
		{"huge length", ok + "Content-Length: 99999999999\r\n\r\n", long, "x"},
	}
	for _, test := range tests {
		for _, slow := range []bool{false, true} {
			name, repeat, delay := test.name, test.repeat, time.Duration(0)
			if slow {
				name, repeat, delay = name+", trickling", test.trickle, 5*time.Millisecond
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s, sent, closed := startEndlessServer(t, test.prefix, repeat, delay)
				c := newCall(s, "r", false)
				if slow {
					c.Deadline = time.Now().Add(300 * time.Millisecond)
				}
				client := NewClient(ClientConfig{})
				r, err := client.Do(context.Background(), c)
				if err == nil {
					var b []byte
					b, err = r.ReadBody(context.Background(), 1<<20)
					assert.Assert(t, len(b) == 0)
					r.Close()
				}
				assert.Assert(t, errors.Is(err, ErrIncompleteResponse) || errors.Is(err, ErrUnexpectedResponse), "%v", err)
				<-closed
				assert.Assert(t, sent.Load() <= maxSentBytes, "%d bytes", sent.Load())
				assert.Equal(t, client.answers.used.Load(), int64(0))
			})
		}
	}
}

// TestIdleConnectionWithBytesIsClosed guards against a backend server that sends endless bytes after an answer with a length, which
// would stay in the buffers of the system for as long as the connection is kept.
func TestIdleConnectionWithBytesIsClosed(t *testing.T) {
	answered, ended := make(chan struct{}), make(chan struct{})
	s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer close(ended)
		_, err := readRequest(br)
		if err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 1\r\nKeep-Alive: timeout=3600\r\n\r\nx")
		}
		<-answered
		for chunk := strings.Repeat("x", 4096); err == nil; {
			_, err = io.WriteString(c, chunk)
		}
	})
	client := NewClient(ClientConfig{})
	r, err := client.Do(context.Background(), newCall(s, "r", false))
	assert.NilError(t, err)
	_, err = r.ReadBody(context.Background(), 1<<20)
	assert.NilError(t, err)
	r.Close()
	close(answered)
	keep := func(fleet.Incarnation) bool { return true }
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		client.CloseExpired(time.Now(), keep)
		select {
		case <-ended:
			return poll.Success()
		default:
			return poll.Continue("the connection is open")
		}
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestEndlessEventIsBounded guards against an event stream whose event never ends, or has an endless run of comments
// before it.
func TestEndlessEventIsBounded(t *testing.T) {
	tests := []struct{ name, prefix, repeat string }{
		{"one line", "data: ", strings.Repeat("x", 4096)},
		{"lines", "", strings.Repeat("data: x\n", 512)},
		{"comments before an event", "", strings.Repeat(": x\n", 1024)},
		{"one comment", ":", strings.Repeat("x", 4096)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, sent, closed := startEndlessServer(t, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n"+test.prefix, test.repeat, 0)
			client := NewClient(ClientConfig{})
			r, err := client.Do(context.Background(), newCall(s, "r", false))
			assert.NilError(t, err)
			_, err = NewEventReader(context.Background(), r).Next()
			assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
			r.Close()
			<-closed
			assert.Equal(t, client.answers.used.Load(), int64(0))
			assert.Assert(t, sent.Load() <= maxSentBytes)
		})
	}
}

// TestConcurrentResponsesShareMemoryLimit guards against many endless responses that together exhaust the memory of an
// instance.
func TestConcurrentResponsesShareMemoryLimit(t *testing.T) {
	const responseCount, limit = 64, 8 << 20
	client := NewClient(ClientConfig{})
	var peak atomic.Int64
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				peak.Store(max(peak.Load(), client.answers.used.Load()))
			}
		}
	}()
	done := make(chan error)
	var responses []*Response
	startSending := make(chan struct{})
	for range responseCount {
		// All clients connect before any server starts the endless body: connecting has a timeout, which a busy machine
		// would exceed.
		s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			_, err := readRequest(br)
			if err == nil {
				_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n")
			}
			<-startSending
			for chunk := strings.Repeat("x", 4096); err == nil; {
				_, err = io.WriteString(c, chunk)
			}
		})
		r, err := client.Do(context.Background(), newCall(s, "r", false))
		assert.NilError(t, err)
		responses = append(responses, r)
	}
	close(startSending)
	for _, r := range responses {
		go func() {
			_, err := r.ReadBody(context.Background(), limit)
			r.Close()
			done <- err
		}()
	}
	for range responseCount {
		err := <-done
		assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
	}
	close(stop)
	assert.Equal(t, client.answers.used.Load(), int64(0))
	// The buffer that exceeds the limit is counted until its response fails.
	assert.Assert(t, peak.Load() <= defaultAnswerMemory+responseCount*limit/4, "%d bytes", peak.Load())
}

// TestDiscardOfEndlessBodyReturns guards against a retry that is held up by reading an endless body of the first response.
func TestDiscardOfEndlessBodyReturns(t *testing.T) {
	for _, repeat := range []string{"x", strings.Repeat("x", 4096)} {
		s, _, closed := startEndlessServer(t, "HTTP/1.1 503 Service Unavailable\r\nId: r\r\n\r\n", repeat, time.Millisecond)
		r, err := NewClient(ClientConfig{}).Do(context.Background(), newCall(s, "r", false))
		assert.NilError(t, err)
		r.DiscardBody()
		r.Close()
		<-closed
	}
}

// TestExclusiveCallIgnoresDuplicateResponse guards against a late duplicate of a response that is taken for the response to
// the next request on a reused connection. The ID cannot tell them apart if the next request has none or is a retry of the
// same request.
func TestExclusiveCallIgnoresDuplicateResponse(t *testing.T) {
	s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			if n > 0 {
				// The duplicate of the previous response arrives first.
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n")
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n")
		}
	})
	client := NewClient(ClientConfig{})
	for range 3 {
		request := newCall(s, "", true)
		request.Exclusive = true
		r, err := client.Do(context.Background(), request)
		assert.NilError(t, err)
		assert.Equal(t, r.Header.StatusCode(), 200)
		r.Close()
	}
	assert.Equal(t, client.DialCount(), 3)
}
