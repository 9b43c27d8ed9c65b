package http1

import "github.com/valyala/fasthttp"

// Request is a request received from a caller.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
}

// RequestURI returns the path and query exactly as the caller sent them.
func (r *Request) RequestURI() string { return string(r.Header.RequestURI()) }

// Host returns the value of the Host header field.
func (r *Request) Host() string { return string(r.Header.Host()) }
