// Package http1 speaks HTTP/1.1 with callers and with backend servers. It hands on methods, paths, bodies and answers
// byte for byte, tells a caller that has gone from one that waits, and never takes the bytes of one answer for another.
// Headers are read and written by fasthttp; connections are its own, because a request that may run at most once needs
// to know whether any byte of it has left.
package http1
