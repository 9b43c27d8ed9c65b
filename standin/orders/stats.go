package orders

import "maps"

// maxKeys bounds the keys whose calls are counted.
const maxKeys = 1 << 18

// Stats are counters for tests and reports.
type Stats struct {
	Calls     int            // Calls that arrived, refused ones and those that crashed included.
	Executed  int            // Executions.
	Refused   int            // Calls refused before admission.
	PerKey    map[string]int // Executions by key; the empty key stands for all calls without one.
	CallsBy   map[string]int // Calls by key.
	Repeated  []string       // Keys, in the order of their second execution, that ran more than once.
	Uncounted int            // Calls missing in PerKey and CallsBy because these are full.
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

// arrive notes a call.
func (s *Stats) arrive(key string) {
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

// execute notes an execution and returns how many the key has had.
func (s *Stats) execute(key string) int {
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
