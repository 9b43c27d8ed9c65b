package cluster

import (
	"errors"
	"net"
	"time"
)

// cutConn fails while the network is cut; the peer sees the connection break.
type cutConn struct {
	net.Conn
	cut func() bool
}

// Read fails across a cut, also when the answer arrived during the wait.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.cut() {
		_ = c.Close()
		return 0, errCut
	}
	return n, err
}

// Write fails across a cut.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.cut() {
		_ = c.Close()
		return 0, errCut
	}
	return c.Conn.Write(b)
}

// errCut ends connections across a cut.
var errCut = errors.New("network is cut")

// dial opens a connection of instance n to the store or to a peer.
func (c *Cluster) dial(n int, addr string, timeout time.Duration) (net.Conn, error) {
	if c.isCut(n, addr) {
		return nil, errCut
	}
	raw, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: raw, cut: func() bool { return c.isCut(n, addr) }}, nil
}

// Cut takes instance n off the network between instances and store, or puts it back.
func (c *Cluster) Cut(n int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[n] = cut
}

func (c *Cluster) isCut(n int, addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[n] {
		return true
	}
	for m, i := range c.instances {
		if c.cut[m] && i != nil && i.PeerAddress() == addr {
			return true
		}
	}
	return false
}
