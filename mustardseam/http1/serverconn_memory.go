package http1

import (
	"bufio"
	"io"
	"time"
)

// memoryRetryAfter is the Retry-After time in seconds of a request that does not fit into the memory for requests.
const memoryRetryAfter = "1"

// beginReading records that the connection reads a request.
func (c *serverConn) beginReading() {
	c.recordProgress()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.replaced = phaseReading, false
}

// endReading records that the request was read as a whole and is passed on. It returns false if the request was evicted
// before. After it has returned true, the request is no longer evicted.
func (c *serverConn) endReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.phase, c.served = phaseHandling, true
	return true
}

// evict refuses the request that is being read, which releases its memory. It reports whether there is one.
func (c *serverConn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseReading || c.evicted {
		return false
	}
	c.evicted = true
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	c.interrupted <- struct{}{}
	return true
}

func (c *serverConn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// setReadDeadline sets the read deadline, unless the request that is being read was evicted.
func (c *serverConn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		_ = c.conn.SetReadDeadline(t)
	}
}

// recordProgress records that bytes of the current request have arrived.
func (c *serverConn) recordProgress() { c.progressAt.Store(c.server.now()) }

// reserve reserves memory for the current request and reports whether it fits.
func (c *serverConn) reserve(bytes int64) bool {
	if !c.server.memory.reserve(bytes, c.held.Load()+bytes > largeRequestBytes, c.interrupted) {
		return false
	}
	c.held.Add(bytes)
	return true
}

// release returns memory of the current request.
func (c *serverConn) release(bytes int64) {
	c.held.Add(-bytes)
	c.server.memory.release(bytes)
}

// releaseRequest returns the memory of a request that was handled. Bytes of the next request remain in the large read buffer.
func (c *serverConn) releaseRequest() {
	if c.br != c.small && c.br.Buffered() == 0 {
		c.br, c.large = c.small, 0
	}
	c.release(c.held.Load() - c.large)
}

// releaseAll returns all memory of the connection.
func (c *serverConn) releaseAll() {
	c.br, c.large = c.small, 0
	c.release(c.held.Load())
}

// enlargeReader replaces a small read buffer by one for headers of up to headerBytes, unless those fit. Bytes that were read are
// kept.
func (c *serverConn) enlargeReader(headerBytes int) error {
	size := headerBytes + headerBufferSlack
	if c.br != c.small || size <= c.small.Size() {
		return nil
	}
	if !c.reserve(int64(size)) {
		return errMemoryFull
	}
	c.large = int64(size)
	c.br = bufio.NewReaderSize(io.MultiReader(io.LimitReader(c.small, int64(c.small.Buffered())), c.conn), size)
	return nil
}
