package tcp

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const connectTimeout = time.Second

// ErrNotConnected says that no connection was made, so that no byte of a request can have left.
var ErrNotConnected = errors.New("not connected")

// Dial opens a connection to an address of the form IP:port within the timeout.
type Dial func(addr string, timeout time.Duration) (net.Conn, error)

// Config bounds the silence of a peer.
type Config struct {
	Idle time.Duration // Longest wait for the next byte.
	Dial Dial          // Opens connections; nil for the usual way.
}

// Dialer opens connections and keeps track of them; its methods are safe for concurrent use.
type Dialer struct {
	cfg    Config
	mu     sync.Mutex
	conns  map[*conn]struct{} // Guarded by mu.
	closed bool               // Guarded by mu.
}

// New returns a dialer without connections.
func New(cfg Config) *Dialer {
	if cfg.Dial == nil {
		cfg.Dial = func(addr string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, timeout)
		}
	}
	return &Dialer{cfg: cfg, conns: map[*conn]struct{}{}}
}

// Dial connects to an address of the form IP:port within a second.
func (d *Dialer) Dial(addr string) (net.Conn, error) { return d.DialTimeout(addr, 0) }

// DialTimeout connects to an address of the form IP:port within the timeout, at most a second; 0 means a second.
func (d *Dialer) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = connectTimeout
	}
	raw, err := d.cfg.Dial(addr, min(timeout, connectTimeout))
	if err != nil {
		return nil, eris.Wrapf(ErrNotConnected, "connect to %s: %v", addr, err)
	}
	c := &conn{Conn: raw, dialer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = raw.Close()
		return nil, eris.Wrapf(ErrNotConnected, "connect to %s: dialer closed", addr)
	}
	d.conns[c] = struct{}{}
	return c, nil
}

// Close closes all connections and refuses new ones.
func (d *Dialer) Close() {
	d.mu.Lock()
	conns := d.conns
	d.conns = map[*conn]struct{}{}
	d.closed = true
	d.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}

func (d *Dialer) forget(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}
