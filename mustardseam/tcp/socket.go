package tcp

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Socket is an open address that can end all of its connections at once; its methods are safe for concurrent use.
type Socket struct {
	net.Listener
	mu    sync.Mutex
	conns map[*tracked]struct{} // Guarded by mu; nil after Abort.
}

// Open listens on an address of the form IP:port.
func Open(addr string) (*Socket, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return &Socket{Listener: ln, conns: map[*tracked]struct{}{}}, nil
}

// Accept returns the next connection.
func (s *Socket) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &tracked{Conn: raw, socket: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	s.conns[c] = struct{}{}
	return c, nil
}

// Abort closes the address and all connections, idle ones included. A server that only stops accepting would go on to
// answer on connections that its peers keep open.
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

// tracked is a connection that its socket can end.
type tracked struct {
	net.Conn
	socket *Socket
}

// Close closes the connection.
func (c *tracked) Close() error {
	c.socket.mu.Lock()
	delete(c.socket.conns, c)
	c.socket.mu.Unlock()
	return c.Conn.Close()
}
