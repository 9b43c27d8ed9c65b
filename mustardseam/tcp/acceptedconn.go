package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// acceptedConn is an accepted connection with a timeout for each write. It can detect that its peer disconnects while a
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
	return c.Conn.Read(b)
}

// Write writes to the peer. It fails if the peer does not read within ListenerConfig.WriteTimeout.
func (c *acceptedConn) Write(b []byte) (int, error) {
	if d := c.listener.cfg.WriteTimeout; d > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// NetConn returns the underlying connection, for access to socket options.
func (c *acceptedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and releases its place in the connection limit of the listener.
func (c *acceptedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.openConns.Add(-1)
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
