package http1

import (
	"strconv"

	"github.com/valyala/fasthttp"
)

// Field is a field of a header.
type Field struct {
	Name  string
	Value string
}

// Head is the header of an answer without the fields that concern one connection and the length.
type Head struct {
	Status int
	Fields []Field
}

// With returns the header with a further field.
func (h Head) With(name, value string) Head {
	h.Fields = append(h.Fields[:len(h.Fields):len(h.Fields)], Field{Name: name, Value: value})
	return h
}

// Framings of a body whose length is not known.
const (
	chunked = -1 // In chunks.
	toEnd   = -2 // It ends with the connection.
)

// bytes returns the header as sent; a length below 0 is a framing.
func (h Head) bytes(length int, last bool) []byte {
	b := append([]byte("HTTP/1.1 "), strconv.Itoa(h.Status)...)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(h.Status)...)
	b = append(b, "\r\n"...)
	b = appendFields(b, h.Fields)
	switch {
	case length >= 0:
		b = appendField(b, fasthttp.HeaderContentLength, strconv.Itoa(length))
	case length == chunked:
		b = appendField(b, fasthttp.HeaderTransferEncoding, "chunked")
	}
	if last || length == toEnd {
		b = appendField(b, fasthttp.HeaderConnection, "close")
	}
	return append(b, "\r\n"...)
}

// RequestHead is the header of a request without the fields that concern one connection and the length.
type RequestHead struct {
	Method string
	Path   string // With the query.
	Host   string
	Fields []Field
}

// bytes returns the header as sent. A request without a body names no length unless its method makes one likely.
func (h RequestHead) bytes(length int) []byte {
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

func appendFields(b []byte, fields []Field) []byte {
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
