package tcp

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minProgressBytes is the number of bytes that a peer must take within the write timeout.
	minProgressBytes = 4 << 10
	// maxShortWriteBytes is the length up to which a write is short: it must end within the write timeout.
	maxShortWriteBytes = 64 << 10
)

// acceptedConn is an accepted connection with a timeout for writes without progress. It can detect that its peer disconnects while a
// request is being handled.
type acceptedConn struct {
	net.Conn
	listener *Listener
	closed   atomic.Bool

	mu        sync.Mutex
	readAhead []byte // Bytes read by watchClose and not yet returned by Read; guarded by mu.
}

// Read returns the bytes that were read ahead, if any, and otherwise reads from the peer.
func (c *acceptedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	n := copy(b, c.readAhead)
	c.readAhead = c.readAhead[n:]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.idle.touch(c)
	}
	return n, err
}

// Write writes to the peer. It fails if it takes longer than ListenerConfig.WriteTimeout; a long write only if the peer takes
// fewer than minProgressBytes within that time, or if the long writes on all connections together exceed
// ListenerConfig.MaxUnsentBytes.
func (c *acceptedConn) Write(b []byte) (int, error) {
	timeout := c.listener.cfg.WriteTimeout
	if timeout <= 0 {
		return c.Conn.Write(b)
	}
	if len(b) <= maxShortWriteBytes {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	c.listener.unsentBytes.Add(int64(len(b)))
	defer c.listener.unsentBytes.Add(-int64(len(b)))
	for written := 0; ; {
		queued := c.queuedBytes()
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		taken := queued + n - c.queuedBytes()
		if !errors.Is(err, os.ErrDeadlineExceeded) || taken < minProgressBytes ||
			c.listener.unsentBytes.Load() > c.listener.cfg.MaxUnsentBytes {
			return written, err
		}
	}
}

// queuedBytes returns the number of bytes in the send buffer of the system that the peer has not acknowledged; 0 if it is not
// known. The system accepts more only when a large part of the buffer is free, so a write may wait while the peer reads.
func (c *acceptedConn) queuedBytes() int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	return queued
}

// NetConn returns the underlying connection, for access to socket options.
func (c *acceptedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and releases its place in the connection limit of the listener.
func (c *acceptedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.openConns.Add(-1)
		c.listener.idle.remove(c)
	}
	return c.Conn.Close()
}

// WatchClose detects that the peer of an accepted connection closes it. It reads ahead until the peer sends data or closes
// the connection, or until stop is called. The channel closed is closed when the peer closes the connection or the read
// fails. Nothing else may read from the connection until stop has returned. For connections that were not accepted by a
// Listener, the channel is nil.
func WatchClose(c net.Conn) (closed <-chan struct{}, stop func()) {
	if a, ok := c.(*acceptedConn); ok {
		return a.watchClose()
	}
	return nil, func() {}
}

func (c *acceptedConn) watchClose() (closed <-chan struct{}, stop func()) {
	peerClosed, readDone := make(chan struct{}), make(chan struct{})
	var stopping atomic.Bool
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(readDone)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.mu.Lock()
			c.readAhead = append(c.readAhead, b[:n]...)
			c.mu.Unlock()
		}
		if err != nil && !stopping.Load() {
			close(peerClosed)
		}
	}()
	return peerClosed, func() {
		stopping.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-readDone
		_ = c.SetReadDeadline(time.Time{})
	}
}
