package fleet

import (
	"maps"
	"time"
)

// leavingRetention is how long it is kept that an incarnation leaves after its entry is gone. It covers copies of the store
// that still list it; a planned end takes seconds.
const leavingRetention = 10 * time.Minute

// draft is a view in the making. It copies a map of the view before it when it first changes it, so that many changes cost
// one copy: after a start, all backend servers of a large fleet arrive together.
type draft struct {
	View
	ownServers, ownLeaving, ownOut, ownRollouts, ownProgress, ownNodes bool
}

// own replaces a map by a copy the first time that it is to be changed.
func own[K comparable, V any](m *map[K]V, owned *bool) {
	if !*owned {
		*m = maps.Clone(*m)
		*owned = true
	}
}

// apply makes one change.
func (d *draft) apply(c Change) {
	d.Revision = max(d.Revision, c.Revision)
	switch {
	case c.Config != nil:
		if d.Config == nil || c.Config.Version >= d.Config.Version {
			d.Config = c.Config
		}
	case c.Server != nil:
		own(&d.Servers, &d.ownServers)
		d.Servers[c.Server.ID] = d.inherit(c.Server)
	case c.Leaving != nil:
		d.leave(*c.Leaving, c.Time)
	case c.Gone != "":
		d.remove(c)
	case c.Out != "":
		own(&d.Out, &d.ownOut)
		if c.Removed {
			delete(d.Out, c.Out)
		} else {
			d.Out[c.Out] = c.Revision
		}
	case c.Rollout != nil:
		own(&d.Rollouts, &d.ownRollouts)
		r := *c.Rollout
		if old, ok := d.Rollouts[r.Service]; ok && old.Revision == r.Revision {
			r.Ordered = old.Ordered
		}
		d.Rollouts[r.Service] = r
		if c.Removed {
			delete(d.Rollouts, r.Service)
		}
	case c.Progress != nil:
		own(&d.Progress, &d.ownProgress)
		d.Progress[c.Service] = *c.Progress
	case c.Node != nil:
		own(&d.Nodes, &d.ownNodes)
		d.Nodes[c.Node.Name] = *c.Node
		if c.Removed {
			delete(d.Nodes, c.Node.Name)
		}
	}
}

// remove takes out a backend server whose entry is gone, or marks it where the entry may come back.
func (d *draft) remove(c Change) {
	own(&d.Servers, &d.ownServers)
	old := d.Servers[c.Gone]
	delete(d.Servers, c.Gone)
	if old != nil && c.Lapse && !old.Draining {
		s := *old
		if s.Lapsed.IsZero() {
			s.Lapsed = c.Time
		}
		d.Servers[c.Gone] = &s
	}
}

// inherit keeps what is known better of the incarnation of an entry.
func (d *draft) inherit(s *Server) *Server {
	next := *s
	if old := d.Servers[s.ID]; old != nil && old.Incarnation() == s.Incarnation() {
		next.Seen = old.Seen
		next.Draining = s.Draining || old.Draining
	}
	if _, leaving := d.Leaving[s.Incarnation()]; leaving {
		next.Draining = true
	}
	return &next
}

// leave records that an incarnation leaves.
func (d *draft) leave(id Incarnation, now time.Time) {
	own(&d.Leaving, &d.ownLeaving)
	maps.DeleteFunc(d.Leaving, func(other Incarnation, at time.Time) bool {
		s := d.Servers[other.ID]
		return (s == nil || s.Incarnation() != other) && now.Sub(at) >= leavingRetention
	})
	d.Leaving[id] = now
	if s := d.Servers[id.ID]; s != nil && s.Incarnation() == id && !s.Draining {
		next := *s
		next.Draining = true
		own(&d.Servers, &d.ownServers)
		d.Servers[id.ID] = &next
	}
}
