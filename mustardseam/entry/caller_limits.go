package entry

import (
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
)

// logCallerLimits logs which limits on callers took effect since an earlier state, and returns the present one.
func (i *Instance) logCallerLimits(since http1.ServerStats) http1.ServerStats {
	s := i.server.Stats()
	if n := s.RefusedRequests - since.RefusedRequests; n > 0 {
		event.RequestMemoryFull.Log(i.log()).Int64("refused", n).Int64("used", s.RequestMemory).Int64("limit", s.MemoryLimit).Send()
	}
	if replaced, refused := s.ReplacedConns-since.ReplacedConns, s.RefusedConns-since.RefusedConns; replaced+refused > 0 {
		event.ConnectionLimitReached.Log(i.log()).Int64("replaced", replaced).Int64("refused", refused).Int("open", s.OpenConns).
			Int("limit", i.cfg.MaxConnections).Send()
	}
	return s
}
