package service

import "time"

// Call describes one request to a service.
type Call struct {
	Address  string // IP:port of the service.
	Method   string
	Path     string // Path with the query.
	Header   map[string]string
	Body     []byte
	Deadline time.Time
}
