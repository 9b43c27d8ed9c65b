package engine

import "maps"

// maxCountedKeys limits the number of IDs and of tags whose executions are counted.
const maxCountedKeys = 1 << 18

// Stats holds counters for tests and reports.
type Stats struct {
	Admitted    int            // Requests admitted.
	Fallen      int            // Number of times that the engine failed all requests in cold start.
	OverCold    int            // Requests admitted above the cold limit.
	Unannounced int            // Part of OverCold that arrived before an instance could know of the cold start; see Config.Notice.
	Prefilled   int            // Prompt tokens not found in the cache.
	Reused      int            // Prompt tokens read from the cache.
	Orders      int            // Orders executed.
	StaleOrders int            // Executed orders whose fencing token was below the highest one seen.
	Refused     int            // Orders refused because of their fencing token.
	PerID       map[string]int // Executions by request id.
	PerTag      map[string]int // Executions by the prompt's tag.
	Uncounted   int            // Executions not counted in PerID and PerTag because one of them is full.
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.PerID, s.PerTag = maps.Clone(e.stats.PerID), maps.Clone(e.stats.PerTag)
	return s
}

// recordExecution counts one execution.
func (s *Stats) recordExecution(id, tag string) {
	s.Admitted++
	if len(s.PerID) >= maxCountedKeys || len(s.PerTag) >= maxCountedKeys {
		s.Uncounted++
		return
	}
	s.PerID[id]++
	s.PerTag[tag]++
}
