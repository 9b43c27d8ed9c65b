package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startListener(t *testing.T, cfg ListenerConfig) *Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(ln, cfg)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestFailedDialReturnsErrNotConnected guards against a failed dial that cannot be distinguished from a failed request.
func TestFailedDialReturnsErrNotConnected(t *testing.T) {
	l := startListener(t, ListenerConfig{})
	addr := l.Addr().String()
	d := NewDialer(DialerConfig{})
	c, err := d.Dial(addr)
	assert.NilError(t, err)
	d.Close()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, net.ErrClosed), "a closed dialer ends its connections: %v", err)
	_, err = d.Dial(addr)
	assert.Assert(t, errors.Is(err, ErrNotConnected), "%v", err)
	assert.NilError(t, l.Close())
	_, err = NewDialer(DialerConfig{}).DialTimeout(addr, time.Minute)
	assert.Assert(t, errors.Is(err, ErrNotConnected), "%v", err)
}

// TestReadFromSilentPeerTimesOut guards against a read that blocks forever in spite of the idle timeout or its deadline.
func TestReadFromSilentPeerTimesOut(t *testing.T) {
	tests := []struct {
		name     string
		idle     time.Duration
		deadline time.Duration
	}{
		{"idle timeout", 20 * time.Millisecond, 0},
		{"idle timeout before the deadline", 20 * time.Millisecond, time.Hour},
		{"deadline", 0, 20 * time.Millisecond},
		{"deadline before the idle timeout", time.Hour, 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDialer(DialerConfig{IdleTimeout: tt.idle})
			defer d.Close()
			c, err := d.Dial(startListener(t, ListenerConfig{}).Addr().String())
			assert.NilError(t, err)
			if tt.deadline > 0 {
				assert.NilError(t, c.SetDeadline(time.Now().Add(tt.deadline)))
			}
			_, err = c.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		})
	}
}

// TestConnectionLimitIsReleasedOnClose guards against connections beyond the limit, and against a closed connection that
// still counts towards it.
func TestConnectionLimitIsReleasedOnClose(t *testing.T) {
	l := startListener(t, ListenerConfig{MaxConns: 1, Refusal: []byte("full")})
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		return c
	}
	first := dial()
	defer func() { _ = first.Close() }()
	in := <-accepted
	second := dial()
	_, err := io.WriteString(second, "request that nobody reads")
	assert.NilError(t, err)
	b, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "full")
	assert.NilError(t, second.Close())
	assert.NilError(t, in.Close())
	_ = in.Close()
	third := dial()
	defer func() { _ = third.Close() }()
	assert.NilError(t, (<-accepted).Close())
	assert.NilError(t, l.Close())
	for range accepted {
		t.Fatal("a connection was accepted after the close")
	}
}

// TestWriteToStalledPeerTimesOut guards against a write that blocks forever because the peer does not read.
func TestWriteToStalledPeerTimesOut(t *testing.T) {
	l := startListener(t, ListenerConfig{WriteTimeout: 20 * time.Millisecond})
	out, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = out.Close() }()
	in, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = in.Close() }()
	block := make([]byte, 1<<20)
	for err == nil {
		_, err = in.Write(block)
	}
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// TestWriteToSlowPeer guards against a write that is cut off although its peer reads all the time, and against slow peers that
// occupy memory without limit.
func TestWriteToSlowPeer(t *testing.T) {
	const timeout, size = 300 * time.Millisecond, 16 << 20
	tests := []struct {
		name      string
		maxUnsent int64
		whole     bool
	}{
		{"within the memory limit", size, true},
		{"beyond the memory limit", size - 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := startListener(t, ListenerConfig{WriteTimeout: timeout, MaxUnsentBytes: test.maxUnsent})
			out, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = out.Close() }()
			assert.NilError(t, out.(*net.TCPConn).SetReadBuffer(64<<10))
			in, err := l.Accept()
			assert.NilError(t, err)
			defer func() { _ = in.Close() }()
			go func() {
				for {
					if _, err := io.CopyN(io.Discard, out, 64<<10); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			began := time.Now()
			n, err := in.Write(make([]byte, size))
			if test.whole {
				assert.NilError(t, err)
				assert.Equal(t, n, size)
				assert.Assert(t, time.Since(began) > timeout, "the write is too short for the test: %v", time.Since(began))
			} else {
				assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			}
			assert.Equal(t, l.unsentBytes.Load(), int64(0))
		})
	}
}

// TestWatchCloseReportsCloseAndKeepsData guards against a caller whose disconnect goes unnoticed while its request is being
// handled, and against losing bytes of its next request that were read ahead.
func TestWatchCloseReportsCloseAndKeepsData(t *testing.T) {
	l := startListener(t, ListenerConfig{})
	out, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = out.Close() }()
	in, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = in.Close() }()
	for _, text := range []string{"first", "second"} {
		closed, stop := WatchClose(in)
		_, err = io.WriteString(out, text)
		assert.NilError(t, err)
		stop()
		b := make([]byte, len(text))
		_, err = io.ReadFull(in, b)
		assert.NilError(t, err)
		assert.Equal(t, string(b), text)
		select {
		case <-closed:
			t.Fatal("the peer is still there")
		default:
		}
	}
	closed, stop := WatchClose(in)
	assert.NilError(t, out.Close())
	<-closed
	stop()
	closed, stop = WatchClose(out)
	assert.Assert(t, closed == nil)
	stop()
}

// TestLongestIdleConnectionIsReplaced guards against peers that open connections without using them, and so keep others out or
// exceed the limit of connections.
func TestLongestIdleConnectionIsReplaced(t *testing.T) {
	l := startListener(t, ListenerConfig{MaxConns: 2, ReplaceIdle: true})
	connect := func() (peer, accepted net.Conn) {
		t.Helper()
		peer, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = peer.Close() })
		accepted, err = l.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = accepted.Close() })
		return peer, accepted
	}
	isOpen := func(c net.Conn) bool {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	used, usedAccepted := connect()
	unused, _ := connect()
	_, err := io.WriteString(used, "x")
	assert.NilError(t, err)
	_, err = usedAccepted.Read(make([]byte, 1))
	assert.NilError(t, err)

	_, third := connect()
	assert.Check(t, isOpen(used))
	assert.Check(t, !isOpen(unused), "the connection that was never used is still open")
	assert.Equal(t, l.Replaced(), int64(1))

	// A closed connection leaves its place to the next one.
	assert.NilError(t, third.Close())
	connect()
	assert.Check(t, isOpen(used))
	assert.Equal(t, l.Replaced(), int64(1))
	assert.Equal(t, l.Refused(), int64(0))
}
