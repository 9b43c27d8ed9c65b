package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// recordingListener passes on the connections that it accepts.
type recordingListener struct {
	net.Listener
	conns chan net.Conn
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.conns <- c
	}
	return c, err
}

// startUnframedServer starts a server that answers with a body without framing. It returns a connection to it with the beginning
// of the answer read, the server's end of the connection and a channel that is closed when the answer has been written.
func startUnframedServer(t *testing.T, respond func(e *Exchange)) (c net.Conn, body io.Reader, end net.Conn, written <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l, done := recordingListener{ln, make(chan net.Conn, 1)}, make(chan struct{})
	s := NewServer(ServerConfig{
		Listener: l, Limits: func() fleet.Limits { return fleet.Limits{} }, Log: zerolog.Nop(),
		Handle: func(e *Exchange) {
			defer close(done)
			respond(e)
		},
	})
	c, err = net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		s.Close()
		<-s.Done()
	})
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.ContentLength, int64(-1))
	return c, resp.Body, <-l.conns, done
}

// unframedAnswers are the ways in which an answer without framing is sent.
var unframedAnswers = []struct {
	name    string
	respond func(e *Exchange, body []byte)
}{
	{"answer", func(e *Exchange, body []byte) { e.ReplyUntilClose(ResponseHeader{Status: 200}, body) }},
	{"stream", func(e *Exchange, body []byte) {
		e.Begin(ResponseHeader{Status: 200}, false)
		_ = e.Send(body)
		e.End()
	}},
}

// TestUnframedAnswerOfEndedProcess guards against an answer without framing that looks complete although its process ended on
// the way, upon which the system closes the connection.
func TestUnframedAnswerOfEndedProcess(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 64<<20)
	for _, test := range unframedAnswers {
		t.Run(test.name, func(t *testing.T) {
			_, answer, end, written := startUnframedServer(t, func(e *Exchange) { test.respond(e, body) })
			_, err := io.CopyN(io.Discard, answer, 64<<10)
			assert.NilError(t, err)
			select {
			case <-written:
				t.Fatal("the whole answer fits into the buffers of the system")
			default:
			}
			assert.NilError(t, end.Close())
			_, err = io.Copy(io.Discard, answer)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}

// TestWholeUnframedAnswerIsDelivered guards against the loss of the end of an answer without framing that is still on its way when
// it has been written and its process ends.
func TestWholeUnframedAnswerIsDelivered(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 100<<10)
	for _, test := range unframedAnswers {
		t.Run(test.name, func(t *testing.T) {
			_, answer, end, written := startUnframedServer(t, func(e *Exchange) { test.respond(e, body) })
			<-written
			_ = end.Close()
			n, err := io.Copy(io.Discard, answer)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(len(body)))
		})
	}
}
