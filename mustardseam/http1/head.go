package http1

import (
	"strconv"

	"github.com/valyala/fasthttp"
)

// HeaderField is a header field.
type HeaderField struct {
	Name  string
	Value string
}

// ResponseHeader holds the status and header fields of a response, without hop-by-hop fields and Content-Length.
type ResponseHeader struct {
	Status int
	Fields []HeaderField
}

// WithField returns a copy of the header with an additional field.
func (h ResponseHeader) WithField(name, value string) ResponseHeader {
	h.Fields = append(h.Fields[:len(h.Fields):len(h.Fields)], HeaderField{Name: name, Value: value})
	return h
}

// allowsBody reports whether a response with the status can have a body.
func (h ResponseHeader) allowsBody() bool {
	return h.Status != fasthttp.StatusNoContent && h.Status != fasthttp.StatusNotModified
}

// Special values of the body length, for bodies of unknown length.
const (
	framingChunked    = -1 // The body is sent with chunked transfer coding.
	framingUntilClose = -2 // The body ends when the connection is closed.
)

// encode returns the header in its wire format. The length is the body length in bytes, framingChunked or
// framingUntilClose.
func (h ResponseHeader) encode(length int, closeConn bool) []byte {
	b := append([]byte("HTTP/1.1 "), strconv.Itoa(h.Status)...)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(h.Status)...)
	b = append(b, "\r\n"...)
	b = appendFields(b, h.Fields)
	switch {
	case !h.allowsBody():
	case length >= 0:
		b = appendField(b, fasthttp.HeaderContentLength, strconv.Itoa(length))
	case length == framingChunked:
		b = appendField(b, fasthttp.HeaderTransferEncoding, "chunked")
	}
	if closeConn || length == framingUntilClose {
		b = appendField(b, fasthttp.HeaderConnection, "close")
	}
	return append(b, "\r\n"...)
}

// RequestHeader holds the request line and header fields of a request, without hop-by-hop fields and Content-Length.
type RequestHeader struct {
	Method string
	Path   string // Path and query as sent on the request line.
	Host   string
	Fields []HeaderField
}

// encode returns the header in its wire format. For an empty body, Content-Length is sent only if the method usually has
// a body.
func (h RequestHeader) encode(length int) []byte {
	b := append([]byte(h.Method), ' ')
	b = append(b, h.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, fasthttp.HeaderHost, h.Host)
	b = appendFields(b, h.Fields)
	switch h.Method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodDelete:
		if length > 0 {
			b = appendField(b, fasthttp.HeaderContentLength, strconv.Itoa(length))
		}
	default:
		b = appendField(b, fasthttp.HeaderContentLength, strconv.Itoa(length))
	}
	return append(b, "\r\n"...)
}

func appendFields(b []byte, fields []HeaderField) []byte {
	for _, f := range fields {
		b = appendField(b, f.Name, f.Value)
	}
	return b
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
