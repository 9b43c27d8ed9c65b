// Package tcp dials connections that end when the peer is silent for too long or when their dialer is closed, so that
// a reader of a stream is never stuck.
package tcp
