// Package tcp provides TCP connections and listeners with timeouts and limits. Reads on a dialed connection fail when the
// peer is silent for too long or the dialer is closed, so that the reader of a stream never blocks forever. Writes on an
// accepted connection fail when the peer does not read for too long.
package tcp
