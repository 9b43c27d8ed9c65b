package http1

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"time"
)

// minStall is added to the time without progress when requests are compared, so that memory counts among those that make
// progress.
const minStall = 10 * time.Millisecond

// evictionCandidate is a request that is being read.
type evictionCandidate struct {
	conn    *serverConn
	caller  netip.Addr
	bytes   int64
	stalled time.Duration // Time since its last byte arrived.
}

// now returns the time since the start of the server in nanoseconds.
func (s *Server) now() int64 { return int64(time.Since(s.started)) }

// evictRequests refuses requests that are being read until they have released at least the given number of bytes, or none is
// left. It begins with those that hold the most memory for the longest time without progress, weighted with the memory of all
// requests from the same address.
func (s *Server) evictRequests(bytes int64) {
	candidates, byCaller, leaving := s.evictionCandidates()
	if bytes -= leaving; bytes <= 0 {
		return
	}
	score := func(c evictionCandidate) float64 {
		return float64(c.bytes) * float64(c.stalled+minStall) * float64(byCaller[c.caller])
	}
	slices.SortFunc(candidates, func(a, b evictionCandidate) int { return cmp.Compare(score(b), score(a)) })
	// A batch of several requests at a time keeps this from running for each request of a crowd.
	bytes = max(bytes, s.memory.limit/16)
	for _, c := range candidates {
		if bytes <= 0 {
			return
		}
		if c.conn.evict() {
			bytes -= c.bytes
		}
	}
}

// evictionCandidates returns the requests that are being read, the bytes that they hold by the address of the caller, and the
// bytes of those that were evicted and have not yet released them.
func (s *Server) evictionCandidates() (candidates []evictionCandidate, byCaller map[netip.Addr]int64, leaving int64) {
	byCaller = map[netip.Addr]int64{}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		bytes := c.held.Load()
		if bytes == 0 {
			continue
		}
		c.mu.Lock()
		phase, evicted := c.phase, c.evicted
		c.mu.Unlock()
		caller := remoteAddr(c.conn)
		byCaller[caller] += bytes
		switch {
		case evicted:
			leaving += bytes
		case phase == phaseReading:
			candidates = append(candidates, evictionCandidate{c, caller, bytes, time.Duration(now - c.progressAt.Load())})
		}
	}
	return candidates, byCaller, leaving
}

// remoteAddr returns the IP address of the peer of a connection; the zero value if it is not known.
func remoteAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}
