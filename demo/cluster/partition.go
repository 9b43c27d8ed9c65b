package cluster

import (
	"errors"
	"net"
	"time"
)

// partitionConn is a connection that fails and is closed while the network is partitioned, so that the peer sees it
// break.
type partitionConn struct {
	net.Conn
	partitioned func() bool
}

// Read fails during a partition, even when data arrived while it was waiting.
func (c *partitionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.partitioned() {
		_ = c.Close()
		return 0, errPartitioned
	}
	return n, err
}

// Write fails during a partition.
func (c *partitionConn) Write(b []byte) (int, error) {
	if c.partitioned() {
		_ = c.Close()
		return 0, errPartitioned
	}
	return c.Conn.Write(b)
}

// errPartitioned is returned by connections across a partition.
var errPartitioned = errors.New("network is partitioned")

// dial connects instance n to the store or to a peer, unless a partition separates them.
func (c *Cluster) dial(n int, addr string, timeout time.Duration) (net.Conn, error) {
	if c.isPartitioned(n, addr) {
		return nil, errPartitioned
	}
	raw, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &partitionConn{Conn: raw, partitioned: func() bool { return c.isPartitioned(n, addr) }}, nil
}

// SetPartitioned cuts instance n off from the store and the other instances, or reconnects it.
func (c *Cluster) SetPartitioned(n int, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[n] = partitioned
}

func (c *Cluster) isPartitioned(n int, addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned[n] {
		return true
	}
	for m, i := range c.instances {
		if c.partitioned[m] && i != nil && i.PeerAddress() == addr {
			return true
		}
	}
	return false
}
