// Package peer implements the protocol between entry instances: JSON over HTTP, authenticated with a shared key.
package peer
