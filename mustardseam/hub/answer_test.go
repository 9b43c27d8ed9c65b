package hub

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestAnswerMemory guards against answers to peers that do not read them which together take more memory than allowed, and against
// memory that stays reserved.
func TestAnswerMemory(t *testing.T) {
	const long = 6 << 20 // Two answers fit.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ServerConfig{
		Listener: ln, RecoverPanics: func(_ string, f func()) bool {
			f()
			return true
		},
		HandleReport: func(r Report) ReportResponse { return ReportResponse{Hub: strings.Repeat("x", int(r.Sequence))} },
	})
	t.Cleanup(func() { _ = s.Close() })
	addr := ln.Addr().String()
	message := func(bytes int64) string { return fmt.Sprintf(`{"node":"n1","sequence":%d}`, bytes) }
	report := func(bytes int64) int {
		t.Helper()
		resp, err := http.Post("http://"+addr+reportPath, "application/json", strings.NewReader(message(bytes)))
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Assert(t, resp.StatusCode != http.StatusOK || n >= bytes)
		return resp.StatusCode
	}
	waitForRelease := func() {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if used := s.messages.answers.Load(); used != 0 {
				return poll.Continue("%d bytes are reserved", used)
			}
			return poll.Success()
		}, poll.WithDelay(5*time.Millisecond))
	}
	var mute []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", reportPath, len(message(long)), message(long))
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, 1))
		assert.NilError(t, err)
		mute = append(mute, c)
	}
	assert.Equal(t, report(long), http.StatusServiceUnavailable)
	assert.Equal(t, report(1<<10), http.StatusOK)
	for _, c := range mute {
		assert.NilError(t, c.Close())
	}
	waitForRelease()
	assert.Equal(t, report(long), http.StatusOK)
	waitForRelease()
}
