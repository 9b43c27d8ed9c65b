package http1

import "github.com/valyala/fasthttp"

// Request is a request as a caller sent it.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
}

// Path returns the path and query as sent.
func (r *Request) Path() string { return string(r.Header.RequestURI()) }

// Host returns the host that the caller named.
func (r *Request) Host() string { return string(r.Header.Host()) }
