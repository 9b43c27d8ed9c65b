package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// accepted is a connection that bounds each write and can tell that its peer has gone while a request is answered.
type accepted struct {
	net.Conn
	listener *Listener
	closed   atomic.Bool

	mu    sync.Mutex
	ahead []byte // Read by a watch; guarded by mu.
}

// Read returns what a watch has read ahead, then what the peer sends.
func (c *accepted) Read(b []byte) (int, error) {
	c.mu.Lock()
	n := copy(b, c.ahead)
	c.ahead = c.ahead[n:]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	return c.Conn.Read(b)
}

// Write fails when the peer does not read for too long.
func (c *accepted) Write(b []byte) (int, error) {
	if d := c.listener.cfg.Write; d > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// NetConn returns the connection below, for options of the socket.
func (c *accepted) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *accepted) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// Watch reads ahead on an accepted connection until its peer sends the next request, ends the connection, or stop is
// called; gone is closed when the peer ends the connection. Nothing else may read before stop has returned. For other
// connections gone is nil.
func Watch(c net.Conn) (gone <-chan struct{}, stop func()) {
	if a, ok := c.(*accepted); ok {
		return a.watch()
	}
	return nil, func() {}
}

func (c *accepted) watch() (gone <-chan struct{}, stop func()) {
	left, ended := make(chan struct{}), make(chan struct{})
	var stopped atomic.Bool
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(ended)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.mu.Lock()
			c.ahead = append(c.ahead, b[:n]...)
			c.mu.Unlock()
		}
		if err != nil && !stopped.Load() {
			close(left)
		}
	}()
	return left, func() {
		stopped.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}
}
