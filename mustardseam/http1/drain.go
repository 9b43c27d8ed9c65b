package http1

import (
	"io"
	"net"
	"time"
)

const (
	// drainTimeout limits how long remaining input is read before a connection is closed.
	drainTimeout = 500 * time.Millisecond
	// maxDrainBytes limits how much remaining input is read.
	maxDrainBytes = 1 << 20
)

// closeWriteAndDrain closes the write side of a connection, then reads and discards remaining input within the limits.
func closeWriteAndDrain(c net.Conn) {
	if nc, ok := c.(interface{ NetConn() net.Conn }); ok {
		if t, ok := nc.NetConn().(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, c, maxDrainBytes)
}
