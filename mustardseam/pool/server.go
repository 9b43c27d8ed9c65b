package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
	"github.com/mustardseam/mustardseam/mustardseam/routing"
	"github.com/mustardseam/mustardseam/operator"
)

// server is what the home knows of a backend server.
type server struct {
	operator.BackendServer
	out   bool   // Leaving, in a data centre out of service, or no longer configured.
	runs  string // Version by the last load report; empty while unknown.
	cap   *capacity.Server
	node  *routing.Node
	fleet *fleet
	limit int  // Counted in the pool's sum.
	room  int  // Counted in the pool's sum.
	full  int  // Counted in the pool's sum.
	probe bool // In its fleet's list of servers in probation.
}

// usable reports whether the server may get grants if it has room.
func (s *server) usable() bool {
	return !s.out && (s.runs == "" || s.runs == s.Version)
}

// fleet holds the servers of one version.
type fleet struct {
	members   int // Configured servers.
	inService int // Of these, those that are not out.
	probation []*server
	nextProbe time.Time
}

// schedule recalculates when the next probe of the fleet is due.
func (f *fleet) schedule() {
	f.nextProbe = time.Time{}
	for _, s := range f.probation {
		next := s.cap.NextProbe()
		if s.room > 0 && (f.nextProbe.IsZero() || next.Before(f.nextProbe)) {
			f.nextProbe = next
		}
	}
}

// due reports whether a server of the fleet is to be probed.
func (f *fleet) due(now time.Time) bool {
	return !f.nextProbe.IsZero() && !now.Before(f.nextProbe)
}

// after returns when the fleet's probe changes what Decide can do after the given time: when it becomes due, or
// overdue; zero when neither lies ahead.
func (f *fleet) after(now time.Time) time.Time {
	switch late := f.nextProbe.Add(overdue); {
	case f.nextProbe.After(now):
		return f.nextProbe
	case !f.nextProbe.IsZero() && late.After(now):
		return late
	}
	return time.Time{}
}

// refresh brings the sums, the picker and the list of probes in line with the server's capacity.
func (p *Pool) refresh(s *server) {
	limit, room, full := 0, 0, 0
	if s.usable() {
		full = s.cap.Full()
		limit = s.cap.Limit()
		room = max(0, s.cap.Room(p.share))
	}
	p.limit += limit - s.limit
	p.room += room - s.room
	p.full += full - s.full
	s.limit, s.room, s.full = limit, room, full
	p.refreshNode(s)
	p.refreshProbe(s)
}

func (p *Pool) refreshNode(s *server) {
	n, class := s.node, s.cap.Class()
	n.Room = s.room
	if s.cap.Probation() {
		n.Room = 0
	}
	n.Load = float64(s.cap.Occupancy()) / float64(max(1, s.limit))
	n.Prefill = class.Prefill()
	n.Base = class.Base()
	n.Factor = s.cap.Factor()
	n.Queue = time.Duration(s.cap.Queued()) * p.duration / time.Duration(max(1, s.limit))
	p.picker.Update(n)
}

func (p *Pool) refreshProbe(s *server) {
	probe := s.usable() && s.cap.Probation()
	f := s.fleet
	if !probe && !s.probe {
		return
	}
	if probe != s.probe {
		s.probe = probe
		if probe {
			f.probation = append(f.probation, s)
		} else {
			f.probation = remove(f.probation, s)
		}
	}
	f.schedule()
}

// remove deletes the server from the list, whose order does not matter.
func remove(list []*server, s *server) []*server {
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
