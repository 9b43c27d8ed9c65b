package settings

import "time"

// Limits bound what the listeners of an instance accept.
type Limits struct {
	MaxBodyBytes   int           `json:"body-bytes"   yaml:"body-bytes"`
	MaxHeaderBytes int           `json:"header-bytes" yaml:"header-bytes"`
	MaxLineBytes   int           `json:"line-bytes"   yaml:"line-bytes"`  // One line of a stream from a backend server.
	MaxConnections int           `json:"connections"  yaml:"connections"` // Open at a time, per listener.
	IdleTimeout    time.Duration `json:"idle"         yaml:"idle"`        // Without a byte on a connection.
	RequestTimeout time.Duration `json:"request"      yaml:"request"`     // Total time of a request with its answer.
	MaxWaiting     int           `json:"waiting"      yaml:"waiting"`     // Requests of this instance that wait for a permit.
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   8 << 20,
		MaxHeaderBytes: 16 << 10,
		MaxLineBytes:   1 << 20,
		MaxConnections: 4096,
		IdleTimeout:    time.Minute,
		RequestTimeout: 5 * time.Minute,
		MaxWaiting:     1024,
	}
}
