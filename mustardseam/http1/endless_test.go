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

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// mostSent is what a backend server may get rid of before its connection is closed: the longest answer and the buffers of
// the sockets.
const mostSent = 32 << 20

// endless answers each request with some bytes and then a unit again and again until its connection is closed, with a pause
// between units. It counts the bytes that it got rid of and ends with closed.
func endless(t *testing.T, begin, unit string, pause time.Duration) (s *fleet.Server, sent *atomic.Int64, closed <-chan struct{}) {
	t.Helper()
	sent, ended := &atomic.Int64{}, make(chan struct{})
	return script(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err != nil {
			return
		}
		defer close(ended)
		_, err := io.WriteString(c, begin)
		for err == nil {
			var n int
			n, err = io.WriteString(c, unit)
			sent.Add(int64(n))
			time.Sleep(pause)
		}
	}), sent, ended
}

// TestEndless guards against backend servers that send bytes without end which are no answer: they must not take memory or
// a request's time beyond its deadline, and what came must not count as complete.
func TestEndless(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: r\r\n"
	long := strings.Repeat("x", 4096)
	tests := []struct{ name, begin, unit, trickle string }{
		{"status line", "HTTP/1.1 200 ", long, "x"},
		{"no status line", "", long, "x"},
		{"empty lines", "", strings.Repeat("\r\n", 2048), "\r\n"},
		{"one field", ok + "A: ", long, "x"},
		{"fields", ok, strings.Repeat("A: b\r\n", 512), "A: b\r\n"},
		{"interim answers", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 128), "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"answers to others", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\n"},
		{"long answer to another", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", long, "x"},
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
			name, unit, pause := test.name, test.unit, time.Duration(0)
			if slow {
				name, unit, pause = name+", a few bytes now and then", test.trickle, 5*time.Millisecond
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s, sent, closed := endless(t, test.begin, unit, pause)
				c := call(s, "r", false)
				if slow {
					c.Deadline = time.Now().Add(300 * time.Millisecond)
				}
				client := NewClient()
				r, err := client.Do(context.Background(), c)
				if err == nil {
					var b []byte
					b, err = r.Body(1 << 20)
					assert.Assert(t, len(b) == 0)
					r.Close()
				}
				assert.Assert(t, errors.Is(err, ErrBroken) || errors.Is(err, ErrForeign), "%v", err)
				<-closed
				assert.Assert(t, sent.Load() <= mostSent, "%d bytes", sent.Load())
				assert.Equal(t, client.held.Load(), int64(0))
			})
		}
	}
}

// TestEndlessEvents guards against streams without an end of an event, and of comments that hide one.
func TestEndlessEvents(t *testing.T) {
	tests := []struct{ name, begin, unit string }{
		{"one line", "data: ", strings.Repeat("x", 4096)},
		{"lines", "", strings.Repeat("data: x\n", 512)},
		{"comments before an event", "", strings.Repeat(": x\n", 1024)},
		{"one comment", ":", strings.Repeat("x", 4096)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, sent, closed := endless(t, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n"+test.begin, test.unit, 0)
			r, err := NewClient().Do(context.Background(), call(s, "r", false))
			assert.NilError(t, err)
			_, err = NewEvents(r).Next()
			assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
			r.Close()
			<-closed
			assert.Assert(t, sent.Load() <= mostSent)
		})
	}
}

// TestMemoryOfAnswers guards against many answers without an end that together take the memory of an instance.
func TestMemoryOfAnswers(t *testing.T) {
	const answers, limit = 64, 8 << 20
	client := NewClient()
	var most atomic.Int64
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				most.Store(max(most.Load(), client.held.Load()))
			}
		}
	}()
	done := make(chan error)
	var responses []*Response
	flood := make(chan struct{})
	for range answers {
		// All are connected before the first sends without end: connecting has a time limit, which a busy machine would miss.
		s := script(t, func(_ int, c net.Conn, br *bufio.Reader) {
			_, err := readRequest(br)
			if err == nil {
				_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n")
			}
			<-flood
			for unit := strings.Repeat("x", 4096); err == nil; {
				_, err = io.WriteString(c, unit)
			}
		})
		r, err := client.Do(context.Background(), call(s, "r", false))
		assert.NilError(t, err)
		responses = append(responses, r)
	}
	close(flood)
	for _, r := range responses {
		go func() {
			_, err := r.Body(limit)
			r.Close()
			done <- err
		}()
	}
	for range answers {
		err := <-done
		assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
	}
	close(stop)
	assert.Equal(t, client.held.Load(), int64(0))
	// An answer that asks for too much is counted until it is refused.
	assert.Assert(t, most.Load() <= maxHeld+answers*limit/4, "%d bytes", most.Load())
}

// TestSkip guards against a request that waits for the rest of a refusal without end before it goes elsewhere.
func TestSkip(t *testing.T) {
	for _, unit := range []string{"x", strings.Repeat("x", 4096)} {
		s, _, closed := endless(t, "HTTP/1.1 503 Service Unavailable\r\nId: r\r\n\r\n", unit, time.Millisecond)
		r, err := NewClient().Do(context.Background(), call(s, "r", false))
		assert.NilError(t, err)
		r.Skip()
		r.Close()
		<-closed
	}
}

// TestSecondCopy guards against a second copy of an answer that comes late, on a connection that is in use again, where the
// id does not tell it from the answer to the next request: that one has none, or is the same request once more.
func TestSecondCopy(t *testing.T) {
	s := script(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			if n > 0 {
				// The copy of the first answer arrives first.
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n")
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n")
		}
	})
	client := NewClient()
	for range 3 {
		request := call(s, "", true)
		request.Alone = true
		r, err := client.Do(context.Background(), request)
		assert.NilError(t, err)
		assert.Equal(t, r.Header.StatusCode(), 200)
		r.Close()
	}
	assert.Equal(t, client.Dials(), 3)
}
