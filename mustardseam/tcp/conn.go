package tcp

import (
	"net"
	"sync"
	"time"
)

// conn bounds each read by the idle time as well as by the read deadline that its user set.
type conn struct {
	net.Conn
	dialer *Dialer
	mu     sync.Mutex
	end    time.Time // Read deadline of the user; guarded by mu.
}

// Read reads until the user's deadline or the idle time, whichever comes first.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	end := c.end
	c.mu.Unlock()
	if idle := c.dialer.cfg.Idle; idle > 0 {
		if at := time.Now().Add(idle); end.IsZero() || at.Before(end) {
			end = at
		}
	}
	if err := c.Conn.SetReadDeadline(end); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// SetReadDeadline sets the user's deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = t
	return nil
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.dialer.forget(c)
	return c.Conn.Close()
}
