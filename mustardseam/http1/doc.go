// Package http1 implements an HTTP/1.1 server for callers and an HTTP/1.1 client for backend servers. It forwards
// methods, paths, bodies and responses byte for byte, detects that a caller has disconnected while its request is being
// handled, and never attributes the bytes of one response to another.
//
// Headers are parsed by fasthttp. The package manages connections itself, because for a request that may run at most
// once it must know whether any byte of it has been sent.
package http1
