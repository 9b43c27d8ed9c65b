package tcp

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAbortEndsIdleConnections guards against a stopped instance that keeps responding on connections that its peers keep
// open, and is therefore considered alive.
func TestAbortEndsIdleConnections(t *testing.T) {
	s, err := ListenAbortable("127.0.0.1:0")
	assert.NilError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := s.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	c, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	<-accepted
	s.Abort()
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_, err = net.Dial("tcp", s.Addr().String())
	assert.Assert(t, err != nil)
}
