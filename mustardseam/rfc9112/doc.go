// Package rfc9112 checks the responses of HTTP/1.1 servers against the grammar of RFC 9112 before a library parses them. A
// response that breaks it, or that can be read in more than one way, is an error and none of its bytes are passed on.
//
// Checker checks a head, ChunkedReader decodes a chunked body, and Conn checks all that a client reads from its connection.
package rfc9112
