package settings

import "time"

// Limits bounds what the listeners of an instance accept.
type Limits struct {
	MaxBodyBytes   int           `json:"body-bytes"   yaml:"body-bytes"`   // Maximum size of a request body.
	MaxHeaderBytes int           `json:"header-bytes" yaml:"header-bytes"` // Maximum size of a request header.
	MaxLineBytes   int           `json:"line-bytes"   yaml:"line-bytes"`   // Maximum length of a line of a stream from a backend server.
	MaxConns       int           `json:"connections"  yaml:"connections"`  // Maximum number of open connections per listener.
	IdleTimeout    time.Duration `json:"idle"         yaml:"idle"`         // Maximum time without a byte on a connection.
	RequestTimeout time.Duration `json:"request"      yaml:"request"`      // Maximum total time of a request including its answer.
	MaxWaiting     int           `json:"waiting"      yaml:"waiting"`      // Maximum number of requests of this instance that wait for a permit.
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   8 << 20,
		MaxHeaderBytes: 16 << 10,
		MaxLineBytes:   1 << 20,
		MaxConns:       4096,
		IdleTimeout:    time.Minute,
		RequestTimeout: 5 * time.Minute,
		MaxWaiting:     1024,
	}
}
