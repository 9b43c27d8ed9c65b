package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// listingTime is how long a listing is used. In that time backend servers that get warm are still taken for cold, and the
// entries of a new version for too new.
const listingTime = 50 * time.Millisecond

// listing is the backend servers of a service that may get work, as of a view and a time.
type listing struct {
	view   *fleet.View
	at     time.Time
	warm   []*fleet.Server
	lapsed []*fleet.Server // Their entries went away with the store.
	cold   []*fleet.Server
}

// listing returns the backend servers of a service that may get work. It is made anew for each request while a rollout is
// in progress, since its share of the requests is counted, and else now and then: it looks at all of them. mu is held.
func (s *Scheduler) listing(now time.Time, v *fleet.View, svc *fleet.Service) *listing {
	l := s.listings[svc.Name]
	_, ordered := v.Rollouts[svc.Name]
	if l != nil && l.view == v && now.Sub(l.at) < listingTime && !ordered {
		return l
	}
	l = &listing{view: v, at: now}
	versions := s.versions(now, v, svc.Name)
	for _, srv := range v.Of(svc.Name) {
		_, out := v.Out[srv.DataCentre]
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
	s.listings[svc.Name] = l
	return l
}
