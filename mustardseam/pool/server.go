package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
	"github.com/mustardseam/mustardseam/mustardseam/routing"
	"github.com/mustardseam/mustardseam/operator"
)

// server is the state of a backend server, as known to the home instance.
type server struct {
	operator.BackendServer
	// Whether the server is leaving, is in a data centre out of service, or is no longer configured.
	outOfService    bool
	reportedVersion string // Version in the last load report; empty if unknown.
	capacity        *capacity.Server
	node            *routing.Node
	versionGroup    *versionGroup
	limit           int  // Current limit, as included in Pool.totalLimit.
	room            int  // Requests that may be granted, as included in Pool.totalRoom.
	warmLimit       int  // Limit when warm, as included in Pool.totalWarmLimit.
	inProbationList bool // Whether the server is in versionGroup.probation.
}

// usable reports whether the server may get requests when it has room.
func (s *server) usable() bool {
	return !s.outOfService && (s.reportedVersion == "" || s.reportedVersion == s.Version)
}

// versionGroup holds the servers of one version.
type versionGroup struct {
	members   int       // Number of configured servers.
	inService int       // Number of configured servers that are in service.
	probation []*server // Usable servers in probation, in no order.
	nextProbe time.Time // Time of the next probe; zero if there is none.
}

// updateNextProbe recomputes when the next probe of the version is due.
func (f *versionGroup) updateNextProbe() {
	f.nextProbe = time.Time{}
	for _, s := range f.probation {
		next := s.capacity.NextProbe()
		if s.room > 0 && (f.nextProbe.IsZero() || next.Before(f.nextProbe)) {
			f.nextProbe = next
		}
	}
}

// probeDue reports whether a server of the version is due for a probe.
func (f *versionGroup) probeDue(now time.Time) bool {
	return !f.nextProbe.IsZero() && !now.Before(f.nextProbe)
}

// nextProbeChange returns the next time after now at which the version's probe becomes due or overdue, which changes
// what Decide can do. It returns zero if there is none.
func (f *versionGroup) nextProbeChange(now time.Time) time.Time {
	switch overdueAt := f.nextProbe.Add(probeOverdueAfter); {
	case f.nextProbe.After(now):
		return f.nextProbe
	case !f.nextProbe.IsZero() && overdueAt.After(now):
		return overdueAt
	}
	return time.Time{}
}

// refresh updates the totals of the pool, the picker and the list of servers in probation from the server's capacity.
func (p *Pool) refresh(s *server) {
	limit, room, warmLimit := 0, 0, 0
	if s.usable() {
		warmLimit = s.capacity.WarmLimit()
		limit = s.capacity.Limit()
		room = max(0, s.capacity.Room(p.instances))
	}
	p.totalLimit += limit - s.limit
	p.totalRoom += room - s.room
	p.totalWarmLimit += warmLimit - s.warmLimit
	s.limit, s.room, s.warmLimit = limit, room, warmLimit
	p.refreshNode(s)
	p.refreshProbe(s)
}

// refreshNode updates the picker's view of the server.
func (p *Pool) refreshNode(s *server) {
	n, class := s.node, s.capacity.Class()
	n.Room = s.room
	if s.capacity.InProbation() {
		n.Room = 0
	}
	n.Load = float64(s.capacity.Occupancy()) / float64(max(1, s.limit))
	n.PrefillSpeed = class.PrefillSpeed()
	n.BaseLatency = class.BaseLatency()
	n.Slowness = s.capacity.Slowness()
	n.QueueDelay = time.Duration(s.capacity.QueuedInside()) * p.meanDuration / time.Duration(max(1, s.limit))
	p.picker.Update(n)
}

// refreshProbe updates the server's membership in its version's probation list and the time of the next probe.
func (p *Pool) refreshProbe(s *server) {
	inProbation := s.usable() && s.capacity.InProbation()
	f := s.versionGroup
	if !inProbation && !s.inProbationList {
		return
	}
	if inProbation != s.inProbationList {
		s.inProbationList = inProbation
		if inProbation {
			f.probation = append(f.probation, s)
		} else {
			f.probation = deleteServer(f.probation, s)
		}
	}
	f.updateNextProbe()
}

// deleteServer deletes the server from the list without keeping the order.
func deleteServer(list []*server, s *server) []*server {
	for i, other := range list {
		if other == s {
			last := len(list) - 1
			list[i] = list[last]
			list[last] = nil
			return list[:last]
		}
	}
	return list
}
