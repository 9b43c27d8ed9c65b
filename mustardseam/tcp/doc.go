// Package tcp puts bounds on connections: a dialled one ends when its peer is silent for too long or when its dialer is
// closed, so that a reader of a stream is never stuck, and an accepted one when its peer does not read for too long.
package tcp
