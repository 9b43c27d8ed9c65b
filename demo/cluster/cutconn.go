package cluster

import "net"

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
