package http1

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

// readRequest reads a request. If it fails, the exchange is nil and the status is that of the error response; 0 means that
// no response is sent.
func (c *serverConn) readRequest() (*Exchange, int) {
	limits := c.server.cfg.Limits()
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	c.beginReading()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	h, err := c.readHeader(limits.HeaderBytes)
	if err != nil {
		return nil, c.refusalStatus(err)
	}
	if checkFraming(h) != nil {
		return nil, fasthttp.StatusBadRequest
	}
	if string(h.Peek(fasthttp.HeaderExpect)) == "100-continue" && h.ContentLength() <= limits.BodyBytes {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, 0
		}
	}
	// The body gets the same timeout as the header. A caller that stalls for longer would only occupy memory.
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	body, err := c.readBody(h, limits)
	if err != nil {
		return nil, c.refusalStatus(err)
	}
	c.setReadDeadline(time.Time{})
	if !c.endReading() {
		return nil, c.refusalStatus(errMemoryFull)
	}
	return newExchange(c, Request{Header: h, Body: body}), 0
}

// readHeader reads a header of up to about limit bytes. It is parsed only when it has arrived as a whole and the memory that
// it takes when parsed, many times its length for short lines, is reserved.
func (c *serverConn) readHeader(limit int) (*fasthttp.RequestHeader, error) {
	for searched := 0; ; {
		b, _ := c.br.Peek(c.br.Buffered())
		if end := headerEnd(b, searched); end > limit+headerBufferSlack {
			return nil, &fasthttp.ErrSmallBuffer{}
		} else if end > 0 {
			if !c.reserve(headerCost(b[:end])) {
				return nil, errMemoryFull
			}
			h := &fasthttp.RequestHeader{}
			return h, h.Read(c.br)
		}
		searched = len(b)
		if searched >= limit+headerBufferSlack {
			return nil, &fasthttp.ErrSmallBuffer{}
		}
		if searched == c.br.Size() {
			if err := c.enlargeReader(limit); err != nil {
				return nil, err
			}
		}
		if _, err := c.br.Peek(searched + 1); err != nil {
			if len(bytes.Trim(b, "\r\n")) == 0 {
				return nil, io.EOF // Only empty lines, which some callers send after a body.
			}
			return nil, err
		}
		c.recordProgress()
	}
}

// refusalStatus returns the status of the response to a request that could not be read; 0 means that none is sent.
func (c *serverConn) refusalStatus(err error) int {
	var bufferErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errMemoryFull) || c.isEvicted():
		c.server.refusedRequests.Add(1)
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &bufferErr):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isConnClosed(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}
