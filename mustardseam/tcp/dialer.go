package tcp

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxConnectTimeout is the default and the upper limit of the connect timeout.
const maxConnectTimeout = time.Second

// ErrNotConnected means that no connection was made, so that no byte of a request can have been sent.
var ErrNotConnected = errors.New("not connected")

// DialFunc opens a connection to an address of the form IP:port within the timeout.
type DialFunc func(addr string, timeout time.Duration) (net.Conn, error)

// DialerConfig configures a Dialer.
type DialerConfig struct {
	IdleTimeout time.Duration // Maximum wait for the next byte; 0 means no limit.
	Dial        DialFunc      // Opens connections; nil means net.DialTimeout.
}

// Dialer opens connections and closes them together. Its methods are safe for concurrent use.
type Dialer struct {
	cfg    DialerConfig
	mu     sync.Mutex
	conns  map[*dialedConn]struct{} // Open connections; guarded by mu.
	closed bool                     // Close was called; guarded by mu.
}

// NewDialer returns a dialer without connections.
func NewDialer(cfg DialerConfig) *Dialer {
	if cfg.Dial == nil {
		cfg.Dial = func(addr string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, timeout)
		}
	}
	return &Dialer{cfg: cfg, conns: map[*dialedConn]struct{}{}}
}

// Dial connects to an address of the form IP:port within a second.
func (d *Dialer) Dial(addr string) (net.Conn, error) { return d.DialTimeout(addr, 0) }

// DialTimeout connects to an address of the form IP:port within the timeout, at most a second; 0 means a second.
func (d *Dialer) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = maxConnectTimeout
	}
	raw, err := d.cfg.Dial(addr, min(timeout, maxConnectTimeout))
	if err != nil {
		return nil, eris.Wrapf(ErrNotConnected, "connect to %s: %v", addr, err)
	}
	c := &dialedConn{Conn: raw, dialer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = raw.Close()
		return nil, eris.Wrapf(ErrNotConnected, "connect to %s: dialer closed", addr)
	}
	d.conns[c] = struct{}{}
	return c, nil
}

// Close closes all connections. Later dials fail with ErrNotConnected.
func (d *Dialer) Close() {
	d.mu.Lock()
	conns := d.conns
	d.conns = map[*dialedConn]struct{}{}
	d.closed = true
	d.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}

func (d *Dialer) removeConn(c *dialedConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}
