package entry

import (
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
)

// callerLimits is the state of the limits that protect the memory and the connections of an instance.
type callerLimits struct {
	server http1.ServerStats
	client http1.ClientStats
}

// logCallerLimits logs which limits took effect since an earlier state, and returns the present one.
func (i *Instance) logCallerLimits(since callerLimits) callerLimits {
	s, c := i.server.Stats(), i.client.Stats()
	if n := s.RefusedRequests - since.server.RefusedRequests; n > 0 {
		event.RequestMemoryFull.Log(i.log()).Int64("refused", n).Int64("used", s.RequestMemory).Int64("limit", s.MemoryLimit).Send()
	}
	replaced, refused := s.ReplacedConns-since.server.ReplacedConns, s.RefusedConns-since.server.RefusedConns
	if replaced+refused > 0 {
		event.ConnectionLimitReached.Log(i.log()).Int64("replaced", replaced).Int64("refused", refused).Int("open", s.OpenConns).
			Int("limit", i.cfg.MaxConnections).Send()
	}
	abandoned, failed := s.AbandonedAnswers-since.server.AbandonedAnswers, c.RefusedAnswers-since.client.RefusedAnswers
	if abandoned+failed > 0 {
		event.AnswerMemoryFull.Log(i.log()).Int64("abandoned", abandoned).Int64("failed", failed).Int64("used", c.AnswerMemory).
			Int64("limit", c.MemoryLimit).Send()
	}
	return callerLimits{server: s, client: c}
}
