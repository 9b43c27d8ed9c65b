package engine

import "time"

// Call is one request for an engine.
type Call struct {
	ID       string // Names the stream at the engine.
	Address  string // IP:port.
	Path     string
	Body     []byte // JSON with stream set.
	Deadline time.Time
}
