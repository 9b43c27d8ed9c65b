package fleet

import "time"

// Server is the registration of a backend server; it is immutable.
type Server struct {
	ID         string
	Service    string
	Address    string // IP:port.
	DataCentre string
	Version    string    // Version of the server's software.
	Slots      int       // Number of requests that it processes at a time.
	Draining   bool      // It is shutting down and gets no new requests.
	StartMS    int64     // Unix milliseconds of its start, which distinguish its incarnations; 0 when not given.
	ColdUntil  time.Time // Time on the monotonic clock until which it can take little load.
	FirstSeen  time.Time // Time on the monotonic clock when this incarnation was first seen.
	// Lapsed is the time on the monotonic clock when the entry expired in an outage of the store; zero while it exists.
	Lapsed time.Time
}

// Cold reports whether the backend server can take only little load at the given time.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Incarnation returns the identity of this run of the backend server.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, StartMS: s.StartMS} }

// Incarnation identifies one run of a backend server, which may restart under the same ID.
type Incarnation struct {
	ID      string `json:"id"`
	StartMS int64  `json:"born,omitempty"` // Unix milliseconds of the start of the run; 0 when not given.
}
