package tcp

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Socket is a listener that can close all of its accepted connections at once. Its methods are safe for concurrent use.
type Socket struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{} // Open connections; nil after Abort. Guarded by mu.
}

// Open returns a Socket that listens on an address of the form IP:port.
func Open(addr string) (*Socket, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return &Socket{Listener: ln, conns: map[*trackedConn]struct{}{}}, nil
}

// Accept returns the next connection.
func (s *Socket) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: raw, socket: s}
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
func (s *Socket) Abort() {
	_ = s.Close()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// trackedConn is an accepted connection that its Socket can close.
type trackedConn struct {
	net.Conn
	socket *Socket
}

// Close closes the connection and removes it from its Socket.
func (c *trackedConn) Close() error {
	c.socket.mu.Lock()
	delete(c.socket.conns, c)
	c.socket.mu.Unlock()
	return c.Conn.Close()
}
