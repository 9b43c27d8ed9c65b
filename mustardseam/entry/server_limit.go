package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// recordLimit records what an answer of a backend server says about its request limit. Only an answer that ran the request
// withdraws a limit by not naming it, because refusals may lack the field.
func (i *Instance) recordLimit(req *request, g *Grant, sent time.Time, execution ExecutionStatus, notice ServerNotice) {
	if notice.LimitInvalid {
		event.ServerLimitInvalid.Log(i.log()).Str("server", g.Server.ID).Str("request", req.meta.ID).Send()
		return
	}
	if execution == WrongServer || execution == Unsealed || execution == NotExecuted && !notice.Limit.Named {
		return
	}
	if i.scheduler.recordLimit(time.Now(), sent, g.Server, notice.Limit) {
		l := event.ServerLimitChanged.Log(i.log()).Str("server", g.Server.ID).Int64("born", g.Server.StartMS).
			Str("request", req.meta.ID)
		if notice.Limit.Named {
			l.Float64("limit", notice.Limit.PerSecond)
		}
		l.Send()
	}
}

// recordLimit records the limit in an answer to a request that was sent at a given time, and reports whether it changed.
func (s *Scheduler) recordLimit(now, sent time.Time, server *fleet.Server, limit fleet.RequestLimit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed := s.cfg.view().Servers[server.ID]; listed != nil && listed.Incarnation() != server.Incarnation() {
		return false // The request was sent before the backend server started again.
	}
	return s.serverLimits.RecordAnswer(now, sent, server.Incarnation(), limit)
}

// serverLimit returns the known limit of a backend server.
func (s *Scheduler) serverLimit(server *fleet.Server) fleet.RequestLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serverLimits.Of(server.ID)
}

// LimitedServers returns the number of backend servers with a limit.
func (s *Scheduler) LimitedServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.serverLimits.Rates())
}
