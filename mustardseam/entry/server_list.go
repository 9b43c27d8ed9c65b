package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// serverListLifetime is how long a server list is used. During that time, backend servers that have become warm are still
// treated as cold, and a new version that has become usable is still left out.
const serverListLifetime = 50 * time.Millisecond

// serverList holds the backend servers of a service that may get work, for one view and time.
type serverList struct {
	view   *fleet.View
	at     time.Time
	warm   []*fleet.Server
	lapsed []*fleet.Server // Their entries disappeared together with the store.
	cold   []*fleet.Server
}

// eligibleServers returns the backend servers of a service that may get work. The list is rebuilt for each request while
// a rollout is ordered, since the share of its target is counted per request; otherwise it is reused for a while because
// building it visits all backend servers. mu must be held.
func (s *Scheduler) eligibleServers(now time.Time, v *fleet.View, svc *fleet.Service) *serverList {
	l := s.serverLists[svc.Name]
	_, ordered := v.Rollouts[svc.Name]
	if l != nil && l.view == v && now.Sub(l.at) < serverListLifetime && !ordered {
		return l
	}
	l = &serverList{view: v, at: now}
	versions := s.allowedVersions(now, v, svc.Name)
	for _, srv := range v.ServersOf(svc.Name) {
		_, out := v.OutOfService[srv.DataCentre]
		switch {
		case srv.Draining || out || !versions(srv.Version):
		case srv.Cold(now) && svc.ColdRate > 0:
			l.cold = append(l.cold, srv)
		case !srv.Lapsed.IsZero():
			l.lapsed = append(l.lapsed, srv)
		default:
			l.warm = append(l.warm, srv)
		}
	}
	s.serverLists[svc.Name] = l
	return l
}
