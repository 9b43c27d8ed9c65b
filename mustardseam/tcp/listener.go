package tcp

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// refuseTimeout bounds the writing of a refusal.
	refuseTimeout = time.Second
	// maxRefusing bounds the refusals that are written at a time; connections beyond it are closed without one.
	maxRefusing = 64
)

// ListenConfig bounds the connections of a listener.
type ListenConfig struct {
	Connections int           // Open at a time; 0 for no bound.
	Write       time.Duration // Longest wait for a peer that does not read; 0 for no bound.
	Refusal     []byte        // Written to a connection beyond the bound before it is closed.
}

// Listener accepts connections within bounds.
type Listener struct {
	net.Listener
	cfg      ListenConfig
	open     atomic.Int64
	refusing atomic.Int64
}

// Listen puts bounds on a listener.
func Listen(ln net.Listener, cfg ListenConfig) *Listener { return &Listener{Listener: ln, cfg: cfg} }

// Accept returns the next connection within the bound; those beyond it are refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.open.Add(1); l.cfg.Connections == 0 || n <= int64(l.cfg.Connections) {
			return &accepted{Conn: raw, listener: l}, nil
		}
		l.open.Add(-1)
		go l.refuse(raw)
	}
}

// refuse tells the peer why its connection is closed. The reading side stays open until the peer has read or the time is
// over, because a close with unread bytes would take the refusal back.
func (l *Listener) refuse(c net.Conn) {
	defer func() { _ = c.Close() }()
	defer l.refusing.Add(-1)
	if l.refusing.Add(1) > maxRefusing || len(l.cfg.Refusal) == 0 {
		return
	}
	_ = c.SetDeadline(time.Now().Add(refuseTimeout))
	if _, err := c.Write(l.cfg.Refusal); err != nil {
		return
	}
	if half, ok := c.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	buf := make([]byte, 1<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}
