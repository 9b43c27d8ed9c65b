package http1

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// inputWait bounds how long the rest of a refused request is read.
	inputWait = 500 * time.Millisecond
	// inputBytes bounds how much of it is read.
	inputBytes = 1 << 20
)

// drainInput ends the writing side and reads what the peer still sends, within bounds.
func drainInput(c net.Conn) {
	if nc, ok := c.(interface{ NetConn() net.Conn }); ok {
		if t, ok := nc.NetConn().(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(inputWait))
	_, _ = io.CopyN(io.Discard, c, inputBytes)
}

// isEOF reports whether a reader met the end of its input; fasthttp does not wrap it everywhere.
func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "EOF")
}
