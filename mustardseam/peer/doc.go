// Package peer is the protocol between entry instances: HTTP with JSON, authenticated by a shared key.
package peer
