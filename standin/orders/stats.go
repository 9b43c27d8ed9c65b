package orders

import "maps"

// maxKeys limits the number of keys whose calls are counted.
const maxKeys = 1 << 18

// Stats holds counters for tests and reports.
type Stats struct {
	Calls     int            // Calls received, including refused calls and those whose connection was closed.
	Executed  int            // Orders executed.
	Refused   int            // Calls refused before admission.
	PerKey    map[string]int // Executions by key; the empty key counts calls without a key.
	CallsBy   map[string]int // Calls by key.
	Repeated  []string       // Keys that were executed more than once, in the order of their second execution.
	Uncounted int            // Calls not counted in PerKey and CallsBy because these hold maxKeys keys.
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.PerKey, out.CallsBy = maps.Clone(s.stats.PerKey), maps.Clone(s.stats.CallsBy)
	out.Repeated = append([]string{}, s.stats.Repeated...)
	return out
}

// Runs returns the executions by key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := maps.Clone(s.stats.PerKey)
	if runs == nil {
		runs = map[string]int{}
	}
	return runs
}

// recordCall counts a call.
func (s *Stats) recordCall(key string) {
	if s.PerKey == nil {
		s.PerKey, s.CallsBy = map[string]int{}, map[string]int{}
	}
	s.Calls++
	if _, known := s.CallsBy[key]; !known && len(s.CallsBy) >= maxKeys {
		s.Uncounted++
		return
	}
	s.CallsBy[key]++
}

// recordExecution counts an execution and returns the number of executions of the key, 0 when the key is not counted.
func (s *Stats) recordExecution(key string) int {
	s.Executed++
	if _, known := s.CallsBy[key]; !known {
		return 0
	}
	s.PerKey[key]++
	if s.PerKey[key] == 2 && key != "" {
		s.Repeated = append(s.Repeated, key)
	}
	return s.PerKey[key]
}
