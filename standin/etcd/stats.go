package etcd

// Stats count the calls that the store took, refused ones included.
type Stats struct {
	Reads   int
	Writes  int
	Watches int // Each call once, however long it waits.
	Refused int // Calls refused because the store was down or its rate was used up.
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Calls returns the number of calls so far, a waiting watch counted as one.
func (s *Store) Calls() int {
	st := s.Stats()
	return st.Reads + st.Writes + st.Watches
}
