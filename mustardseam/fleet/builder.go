package fleet

import (
	"maps"
	"time"
)

// leavingRetention is how long the record of a leaving incarnation is kept after its entry is gone. It must outlast copies
// of the store that still list the incarnation; a planned shutdown takes seconds.
const leavingRetention = 10 * time.Minute

// viewBuilder applies changes to a view. It copies each map of the previous view at most once, on the first change of that
// map: after a start, all backend servers of a large fleet arrive in one batch.
type viewBuilder struct {
	View
	serversCopied, leavingCopied, outOfServiceCopied, rolloutsCopied, progressCopied, instancesCopied bool
}

// copyOnce replaces a map with a copy unless that has been done, as recorded in copied.
func copyOnce[K comparable, V any](m *map[K]V, copied *bool) {
	if !*copied {
		*m = maps.Clone(*m)
		*copied = true
	}
}

// apply applies one change to the view. It ignores configurations older than the current one.
func (b *viewBuilder) apply(c Change) {
	b.Revision = max(b.Revision, c.Revision)
	switch {
	case c.Config != nil:
		if b.Config == nil || c.Config.Version >= b.Config.Version {
			b.Config = c.Config
		}
	case c.Server != nil:
		copyOnce(&b.Servers, &b.serversCopied)
		b.Servers[c.Server.ID] = b.withKnownState(c.Server)
	case c.Leaving != nil:
		b.markLeaving(*c.Leaving, c.Time)
	case c.RemovedServer != "":
		b.removeServer(c)
	case c.DataCentre != "":
		copyOnce(&b.OutOfService, &b.outOfServiceCopied)
		if c.Removed {
			delete(b.OutOfService, c.DataCentre)
		} else {
			b.OutOfService[c.DataCentre] = c.Revision
		}
	case c.Rollout != nil:
		copyOnce(&b.Rollouts, &b.rolloutsCopied)
		r := *c.Rollout
		if old, ok := b.Rollouts[r.Service]; ok && old.Target == r.Target && (old.Revision == r.Revision || old.Era < r.Era) {
			r.Ordered = old.Ordered
		}
		b.Rollouts[r.Service] = r
		if c.Removed {
			delete(b.Rollouts, r.Service)
		}
	case c.Progress != nil:
		copyOnce(&b.Progress, &b.progressCopied)
		b.Progress[c.Service] = *c.Progress
	case c.Instance != nil:
		copyOnce(&b.Instances, &b.instancesCopied)
		b.Instances[c.Instance.Name] = *c.Instance
		if c.Removed {
			delete(b.Instances, c.Instance.Name)
		}
	}
}

// removeServer removes a backend server whose entry is gone, or marks it as lapsed when the entry may come back.
func (b *viewBuilder) removeServer(c Change) {
	copyOnce(&b.Servers, &b.serversCopied)
	old := b.Servers[c.RemovedServer]
	delete(b.Servers, c.RemovedServer)
	if old != nil && c.MayReturn && !old.Draining {
		s := *old
		if s.Lapsed.IsZero() {
			s.Lapsed = c.Time
		}
		b.Servers[c.RemovedServer] = &s
	}
}

// withKnownState returns a copy of an entry with the first-seen time and the draining state that are already known of the
// same incarnation.
func (b *viewBuilder) withKnownState(s *Server) *Server {
	next := *s
	if old := b.Servers[s.ID]; old != nil && old.Incarnation() == s.Incarnation() {
		next.FirstSeen = old.FirstSeen
		next.Draining = s.Draining || old.Draining
	}
	if _, leaving := b.Leaving[s.Incarnation()]; leaving {
		next.Draining = true
	}
	return &next
}

// markLeaving records that an incarnation is leaving, marks its entry as draining and drops expired records.
func (b *viewBuilder) markLeaving(id Incarnation, now time.Time) {
	copyOnce(&b.Leaving, &b.leavingCopied)
	maps.DeleteFunc(b.Leaving, func(other Incarnation, at time.Time) bool {
		s := b.Servers[other.ID]
		return (s == nil || s.Incarnation() != other) && now.Sub(at) >= leavingRetention
	})
	b.Leaving[id] = now
	if s := b.Servers[id.ID]; s != nil && s.Incarnation() == id && !s.Draining {
		next := *s
		next.Draining = true
		copyOnce(&b.Servers, &b.serversCopied)
		b.Servers[id.ID] = &next
	}
}
