package http1

import (
	"io"
	"net"
	"time"
)

const (
	// inputDiscardTimeout limits how long remaining input is read before a connection is closed.
	inputDiscardTimeout = 500 * time.Millisecond
	// maxInputDiscardBytes limits how much remaining input is read.
	maxInputDiscardBytes = 1 << 20
)

// closeWriteAndDiscard closes the write side of a connection, then reads and discards remaining input within the limits.
func closeWriteAndDiscard(c net.Conn) {
	if nc, ok := c.(interface{ NetConn() net.Conn }); ok {
		if t, ok := nc.NetConn().(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(inputDiscardTimeout))
	_, _ = io.CopyN(io.Discard, c, maxInputDiscardBytes)
}
