package fleet

import "time"

// Server is a backend server as it registered itself; it is immutable.
type Server struct {
	ID         string
	Service    string
	Address    string // IP:port.
	DataCentre string
	Version    string // Of its software.
	Slots      int    // Requests that it works on at a time.
	Draining   bool
	Born       int64     // Tells its incarnations apart; 0 when it says none.
	ColdUntil  time.Time // Steady clock; it bears little load until then.
	Seen       time.Time // Steady clock; when this incarnation was first seen.
	Lapsed     time.Time // Steady clock; when its entry went away in an outage of the store; zero while it is there.
}

// Cold reports whether the backend server bears little load at a moment.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Incarnation names this run of the backend server.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// Incarnation tells the runs of a backend server apart, since one may start again under its old id.
type Incarnation struct {
	ID   string `json:"id"`
	Born int64  `json:"born,omitempty"`
}
