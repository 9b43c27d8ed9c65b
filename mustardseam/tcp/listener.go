package tcp

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// refusalTimeout limits the time for sending a refusal and waiting for the peer to read it.
	refusalTimeout = time.Second
	// maxConcurrentRefusals is the maximum number of refusals in progress. Connections beyond it are closed without a
	// refusal.
	maxConcurrentRefusals = 64
	// maxReplacedConns is how far the limit of connections may be exceeded while connections are being closed for others.
	maxReplacedConns = 64
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	MaxConns     int           // Maximum number of open connections; 0 means no limit.
	WriteTimeout time.Duration // Time within which a peer must take data that is being written; 0 means no limit.
	// MaxUnsentBytes limits the memory that slow peers occupy. While long writes of more bytes than this are in progress, each
	// of them must end within WriteTimeout; with 0 that is always so.
	MaxUnsentBytes int64
	Refusal        []byte // Sent to a connection beyond the limit before it is closed; empty means nothing is sent.
	// MakeRoom is called with a connection beyond MaxConns. It returns true if another one is about to be closed for it; nil means
	// that none ever is.
	MakeRoom func(raw net.Conn) bool
	// ReplaceIdle closes, for a connection beyond MaxConns, the one from which nothing has been read for the longest time. It is meant
	// for peers that open a new connection when theirs is closed. MakeRoom is not called then.
	ReplaceIdle bool
}

// Listener accepts connections up to a limit and sets a timeout for writes on them.
type Listener struct {
	net.Listener
	cfg         ListenerConfig
	openConns   atomic.Int64 // Number of accepted connections that are open.
	refusals    atomic.Int64 // Number of refusals in progress.
	refused     atomic.Int64 // Number of connections refused because of the limit.
	unsentBytes atomic.Int64 // Length of all long writes in progress.
	idle        *idleOrder   // Nil without ReplaceIdle.
	replaced    atomic.Int64 // Number of connections closed because of ReplaceIdle.
}

// NewListener returns a Listener that accepts connections from ln.
func NewListener(ln net.Listener, cfg ListenerConfig) *Listener {
	l := &Listener{Listener: ln, cfg: cfg}
	if cfg.ReplaceIdle {
		l.idle = newIdleOrder()
	}
	return l
}

// Accept returns the next connection within the limit. It refuses connections beyond the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit(raw, l.openConns.Add(1)) {
			c := &acceptedConn{Conn: raw, listener: l}
			l.idle.add(c)
			return c, nil
		}
		l.openConns.Add(-1)
		l.refused.Add(1)
		go l.refuse(raw)
	}
}

// admit reports whether a connection may be accepted with which n are open.
func (l *Listener) admit(raw net.Conn, n int64) bool {
	limit := int64(l.cfg.MaxConns)
	if limit == 0 || n <= limit {
		return true
	}
	if oldest := l.idle.longestIdle(); oldest != nil {
		l.replaced.Add(1)
		_ = oldest.Close()
		return true
	}
	return n <= limit+maxReplacedConns && l.cfg.MakeRoom != nil && l.cfg.MakeRoom(raw)
}

// Replaced returns the number of connections that were closed for others because of ReplaceIdle.
func (l *Listener) Replaced() int64 { return l.replaced.Load() }

// Refused returns the number of connections that were refused because of the limit.
func (l *Listener) Refused() int64 { return l.refused.Load() }

// refuse sends the refusal and closes the connection. It reads until the peer closes its side or the timeout ends, because
// closing with unread bytes would reset the connection and the peer might lose the refusal.
func (l *Listener) refuse(c net.Conn) {
	defer func() { _ = c.Close() }()
	defer l.refusals.Add(-1)
	if l.refusals.Add(1) > maxConcurrentRefusals || len(l.cfg.Refusal) == 0 {
		return
	}
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := c.Write(l.cfg.Refusal); err != nil {
		return
	}
	if closer, ok := c.(interface{ CloseWrite() error }); !ok || closer.CloseWrite() != nil {
		return
	}
	buf := make([]byte, 1<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}
