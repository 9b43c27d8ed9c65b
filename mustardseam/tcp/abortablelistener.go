package tcp

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// AbortableListener is a listener that can close all of its accepted connections at once. Its methods are safe for
// concurrent use.
type AbortableListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{} // Open connections; nil after Abort. Guarded by mu.
}

// ListenAbortable returns an AbortableListener for an address of the form IP:port.
func ListenAbortable(addr string) (*AbortableListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return &AbortableListener{Listener: ln, conns: map[*trackedConn]struct{}{}}, nil
}

// Accept returns the next connection.
func (s *AbortableListener) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: raw, listener: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	s.conns[c] = struct{}{}
	return c, nil
}

// Abort closes the listener and all connections, including idle ones. A server that only stops accepting would keep
// responding on connections that its peers keep open.
func (s *AbortableListener) Abort() {
	_ = s.Close()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// trackedConn is an accepted connection that its AbortableListener can close.
type trackedConn struct {
	net.Conn
	listener *AbortableListener
}

// Close closes the connection and removes it from its listener.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
