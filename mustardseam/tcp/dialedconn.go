package tcp

import (
	"net"
	"sync"
	"time"
)

// dialedConn is a dialed connection. Each read ends at the idle timeout or at the read deadline set by the user, whichever
// comes first.
type dialedConn struct {
	net.Conn
	dialer       *Dialer
	mu           sync.Mutex
	readDeadline time.Time // Read deadline set by the user; zero means none. Guarded by mu.
}

// Read reads from the peer until the read deadline or the idle timeout, whichever comes first.
func (c *dialedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	deadline := c.readDeadline
	c.mu.Unlock()
	if idle := c.dialer.cfg.IdleTimeout; idle > 0 {
		if idleDeadline := time.Now().Add(idle); deadline.IsZero() || idleDeadline.Before(deadline) {
			deadline = idleDeadline
		}
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// SetReadDeadline sets the read deadline for later reads.
func (c *dialedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return nil
}

// SetDeadline sets the deadlines for reads and writes.
func (c *dialedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection and removes it from its dialer.
func (c *dialedConn) Close() error {
	c.dialer.removeConn(c)
	return c.Conn.Close()
}
