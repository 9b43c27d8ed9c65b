package engine

import "time"

// Call describes one request to an engine.
type Call struct {
	ID       string // Request id, which identifies the stream at the engine.
	Address  string // IP:port of the engine.
	Path     string
	Body     []byte // JSON request body with stream set.
	Deadline time.Time
}
