package service

import "time"

// Call is one request for a service.
type Call struct {
	Address  string // IP:port.
	Method   string
	Path     string // With the query.
	Header   map[string]string
	Body     []byte
	Deadline time.Time
}
