package fleet

import "math"

// RequestLimit is the rate of requests that a backend server accepts from all instances together; the zero value is no
// limit.
type RequestLimit struct {
	Named     bool    `json:"named,omitempty"`
	PerSecond float64 `json:"per-second,omitempty"` // Requests per second, 0 or more; only valid if Named is set.
}

// Rate returns the limit in requests per second, and infinity if there is none.
func (l RequestLimit) Rate() float64 {
	if !l.Named {
		return math.Inf(1)
	}
	return l.PerSecond
}
