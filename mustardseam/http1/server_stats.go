package http1

// ServerStats holds the state of the limits of a Server. Counts are since its start.
type ServerStats struct {
	OpenConns       int
	RequestMemory   int64 // Bytes reserved for requests.
	MemoryLimit     int64 // Limit of RequestMemory.
	RefusedRequests int64 // Requests refused because the memory for requests was full.
	// AbandonedAnswers is the number of answers that were given up because their callers read slowly.
	AbandonedAnswers int64
	ReplacedConns    int64 // Idle connections closed to make room for others.
	RefusedConns     int64 // Connections refused because of the limit.
}

// Stats returns the state of the limits.
func (s *Server) Stats() ServerStats {
	return ServerStats{
		OpenConns: s.OpenConns(), RequestMemory: s.memory.used.Load(), MemoryLimit: s.memory.limit,
		AbandonedAnswers: s.abandonedAnswers.Load(), RefusedRequests: s.refusedRequests.Load(), ReplacedConns: s.replacedConns.Load(), RefusedConns: s.listener.Refused(),
	}
}
