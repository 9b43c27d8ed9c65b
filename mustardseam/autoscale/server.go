package autoscale

// Server is the state of a listed backend server.
type Server struct {
	DataCentre string
	Slots      int
	Running    int     // Requests of all instances at the backend server.
	UnitMS     float64 // Milliseconds that a slot takes for a unit of work; 0 when unknown.
	Cold       bool    // It has just started and takes little load.
	Crashed    bool    // It cannot be reached.
	Draining   bool    // It is leaving, because of an order, a replacement or an operator.
}

// capacity returns the units of work per second that the backend server does with all slots in use; 0 when unknown.
func (s Server) capacity() float64 {
	if s.UnitMS <= 0 {
		return 0
	}
	return 1000 * float64(max(1, s.Slots)) / s.UnitMS
}

// workRate returns the units of work per second that the backend server does now.
func (s Server) workRate() float64 {
	slots := max(1, s.Slots)
	return s.capacity() * float64(min(s.Running, slots)) / float64(slots)
}
