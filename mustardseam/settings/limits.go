package settings

import "time"

// Limits bound what the listeners of an instance accept.
type Limits struct {
	BodyBytes   int           `json:"body-bytes"   yaml:"body-bytes"`
	HeaderBytes int           `json:"header-bytes" yaml:"header-bytes"`
	LineBytes   int           `json:"line-bytes"   yaml:"line-bytes"`  // One line of a stream from a backend server.
	Connections int           `json:"connections"  yaml:"connections"` // Open at a time, per listener.
	Idle        time.Duration `json:"idle"         yaml:"idle"`        // Without a byte on a connection.
	Request     time.Duration `json:"request"      yaml:"request"`     // Total time of a request with its answer.
	Waiting     int           `json:"waiting"      yaml:"waiting"`     // Requests of this instance that wait for a permit.
}

func defaultLimits() Limits {
	return Limits{
		BodyBytes:   8 << 20,
		HeaderBytes: 16 << 10,
		LineBytes:   1 << 20,
		Connections: 4096,
		Idle:        time.Minute,
		Request:     5 * time.Minute,
		Waiting:     1024,
	}
}
