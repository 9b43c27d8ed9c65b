package ratelimit

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// serverLimitRetention is how long a withdrawn limit, or the limit of a backend server that is gone, is remembered. It must
// outlast the copies of other instances.
const serverLimitRetention = time.Minute

// ServerLimit is what a backend server was last known to say about its request limit.
type ServerLimit struct {
	Server fleet.Incarnation
	Limit  fleet.RequestLimit // Not named if the backend server has withdrawn its limit.
	At     time.Time          // Time on the monotonic clock at which it was known.
}

// ServerLimits holds the request limits that backend servers have named, by ID. It is not safe for concurrent use.
//
// A backend server that starts again under its ID keeps the limit of its previous incarnation until its first answer,
// which may come from the new incarnation before its entry does.
type ServerLimits struct {
	latest map[string]ServerLimit
}

// NewServerLimits returns limits of no backend server.
func NewServerLimits() *ServerLimits { return &ServerLimits{latest: map[string]ServerLimit{}} }

// RecordAnswer records the limit in an answer to a request of this instance and reports whether the limit changed. An
// answer that raises or withdraws the limit counts only if its request was sent after the stricter limit was known;
// otherwise the backend server may have made the answer before that.
func (l *ServerLimits) RecordAnswer(now, sent time.Time, server fleet.Incarnation, limit fleet.RequestLimit) bool {
	next := ServerLimit{Server: server, Limit: limit, At: now}
	old, known := l.latest[server.ID]
	switch {
	case !known:
		if !limit.Named {
			return false
		}
	case old.Server == server && limit.Rate() > old.Limit.Rate():
		if next.At = sent; !sent.After(old.At) {
			return false
		}
	}
	l.latest[server.ID] = next
	return old.Limit != limit
}

// Of returns the limit of a backend server.
func (l *ServerLimits) Of(id string) fleet.RequestLimit { return l.latest[id].Limit }

// Rates returns the limits in requests per second, by ID of the backend server.
func (l *ServerLimits) Rates() map[string]float64 {
	rates := map[string]float64{}
	for id, s := range l.latest {
		if s.Limit.Named {
			rates[id] = s.Limit.PerSecond
		}
	}
	return rates
}

// Sweep deletes old records of backend servers that are gone or have withdrawn their limit.
func (l *ServerLimits) Sweep(now time.Time, listed func(fleet.Incarnation) bool) {
	for id, s := range l.latest {
		if now.Sub(s.At) > serverLimitRetention && (!s.Limit.Named || !listed(s.Server)) {
			delete(l.latest, id)
		}
	}
}
