package etcd

// Stats counts the calls received by the store, including refused ones.
type Stats struct {
	Reads   int
	Writes  int
	Watches int // Watch calls; each counts once, however long it lasts.
	Refused int // Calls refused because the store was down or its rate limit was reached.
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Calls returns the number of calls so far; an open watch counts as one.
func (s *Store) Calls() int {
	st := s.Stats()
	return st.Reads + st.Writes + st.Watches
}
