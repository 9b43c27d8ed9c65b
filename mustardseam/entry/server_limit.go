package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

// limitJitter is by how much the hub's decisions to send to a backend server with a request limit may arrive closer
// together than it made them.
const limitJitter = 100 * time.Millisecond

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
	if i.scheduler.recordLimit(time.Now(), sent, g.Server.Incarnation(), notice.Limit) {
		i.logLimit(g.Server.Incarnation(), notice.Limit, "request", req.meta.ID)
	}
}

// applyRelayedLimits takes over the request limits of backend servers that another instance knows.
func (i *Instance) applyRelayedLimits(from string, round int64, limits []hub.ServerLimit) {
	for _, l := range i.scheduler.applyRelayedLimits(time.Now(), round, limits) {
		i.logLimit(l.Server, l.Limit, "from", from)
	}
}

// logLimit logs a changed limit with its source.
func (i *Instance) logLimit(server fleet.Incarnation, limit fleet.RequestLimit, sourceKey, source string) {
	l := event.ServerLimitChanged.Log(i.log()).Str("server", server.ID).Int64("born", server.StartMS).Str(sourceKey, source)
	if limit.Named {
		l.Float64("limit", limit.PerSecond)
	}
	l.Send()
}

// recordLimit records the limit in an answer to a request that was sent at a given time, and reports whether it changed.
func (s *Scheduler) recordLimit(now, sent time.Time, server fleet.Incarnation, limit fleet.RequestLimit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed := s.cfg.view().Servers[server.ID]; listed != nil && listed.Incarnation() != server {
		return false // The request was sent before the backend server started again.
	}
	if !s.serverLimits.RecordAnswer(now, sent, server, limit) {
		return false
	}
	s.serverLimiter.LimitsChanged()
	s.updateSharers(now)
	return true
}

// applyRelayedLimits records the limits that another instance knows, and returns those that changed.
func (s *Scheduler) applyRelayedLimits(now time.Time, round int64, limits []hub.ServerLimit) (changed []hub.ServerLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverLimiter.AdoptRound(now, round)
	v := s.cfg.view()
	for _, l := range limits {
		if listed := v.Servers[l.Server.ID]; listed == nil || listed.Incarnation() != l.Server {
			continue
		}
		at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
		if s.serverLimits.RecordRelayed(now, ratelimit.ServerLimit{Server: l.Server, Limit: l.Limit, At: at}) {
			changed = append(changed, l)
		}
	}
	if len(changed) > 0 {
		s.serverLimiter.LimitsChanged()
		s.updateSharers(now)
	}
	return changed
}

// limitsToRelay returns the limits that this instance knows and the round of the instances that use them.
func (s *Scheduler) limitsToRelay(now time.Time) (limits []hub.ServerLimit, round int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.serverLimits.All() {
		limits = append(limits, hub.ServerLimit{Server: l.Server, Limit: l.Limit, AgeMS: now.Sub(l.At).Milliseconds()})
	}
	return limits, s.serverLimiter.Round()
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
