package http1

import (
	"net"
	"net/netip"
	"time"
)

// replacementInterval is the time after an unsuccessful search for a connection to close in which none is searched again.
const replacementInterval = 10 * time.Millisecond

// makeRoom closes an idle connection for a new one beyond the limit of connections, and reports whether there was one to close.
// It closes the one that has been idle longest of those that no caller within the limits uses: idle for more than four fifths of
// the idle timeout, or without any request for longer than the header timeout. If there is none, an address that has
// more than half of all connections loses one to another address.
func (s *Server) makeRoom(raw net.Conn) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextReplacement) {
		return false
	}
	limits := s.cfg.Limits()
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	maxIdle := limits.IdleTimeout - limits.IdleTimeout/5
	newcomer := remoteAddr(raw)
	var unused, oldest *serverConn
	var unusedIdle, oldestIdle time.Duration
	major, hasMajor := s.majorCaller()
	hasMajor = hasMajor && major != newcomer
	for c := range s.conns {
		idle, served, ok := c.idleTime(now)
		if !ok {
			continue
		}
		if (idle > maxIdle || !served && idle > limits.HeaderTimeout) && idle > unusedIdle {
			unused, unusedIdle = c, idle
		}
		if hasMajor && idle > oldestIdle && remoteAddr(c.conn) == major {
			oldest, oldestIdle = c, idle
		}
	}
	if unused == nil {
		unused = oldest
	}
	if unused == nil || !unused.replace() {
		s.nextReplacement = now.Add(replacementInterval)
		return false
	}
	s.replacedConns.Add(1)
	return true
}

// majorCaller returns the address that has more than half of all connections. mu must be held.
func (s *Server) majorCaller() (netip.Addr, bool) {
	counts := map[netip.Addr]int{}
	for c := range s.conns {
		a := remoteAddr(c.conn)
		counts[a]++
		if counts[a] > len(s.conns)/2 {
			return a, true
		}
	}
	return netip.Addr{}, false
}

// idleTime returns how long the connection has waited for a request and whether one was passed on before. It returns false if
// the connection does not wait or is already being closed.
func (c *serverConn) idleTime(now time.Time) (idle time.Duration, served, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.idleSince), c.served, c.phase == phaseIdle && !c.replaced
}

// replace closes the connection if it is idle, and reports whether it is.
func (c *serverConn) replace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle {
		return false
	}
	c.replaced = true
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

func (c *serverConn) isReplaced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replaced
}
