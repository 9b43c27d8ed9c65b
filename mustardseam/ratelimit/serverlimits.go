package ratelimit

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// serverLimitRetention is how long a withdrawn limit, or the limit of a backend server that is gone, is remembered. It
	// must outlast the copies of other instances.
	serverLimitRetention = time.Minute
	// relayDelay is the longest time that the exchange of a limit between two instances usually takes. A relayed limit looks
	// newer than it is by this time.
	relayDelay = 250 * time.Millisecond
)

// ServerLimit is what a backend server was last known to say about its request limit.
type ServerLimit struct {
	Server fleet.Incarnation
	Limit  fleet.RequestLimit // Not named if the backend server has withdrawn its limit.
	At     time.Time          // Time on the monotonic clock at which it was known.
	since  time.Time          // Time from which on this instance knows that there is a limit.
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
	if !known && !limit.Named {
		return false
	}
	if known && old.Server == server && (limit.Rate() > old.Limit.Rate() || !limit.Named) {
		if next.At = sent; !sent.After(old.At) {
			return false
		}
	}
	return l.record(now, next)
}

// RecordRelayed records the limit that another instance knew and reports whether the limit changed. Of two limits of the
// same incarnation, the newer one counts. One that is not stricter counts only if it is newer even if it was delayed.
func (l *ServerLimits) RecordRelayed(now time.Time, next ServerLimit) bool {
	old, known := l.latest[next.Server.ID]
	switch {
	case !next.Limit.Named && now.Sub(next.At) > serverLimitRetention:
		return false
	case !known || old.Server != next.Server:
	case next.Limit.Rate() < old.Limit.Rate():
		if !next.At.After(old.At) {
			return false
		}
	case next.At.Sub(old.At) < relayDelay:
		return false
	}
	return l.record(now, next)
}

// record replaces the limit of a backend server and reports whether it changed.
func (l *ServerLimits) record(now time.Time, next ServerLimit) bool {
	old := l.latest[next.Server.ID]
	if next.since = old.since; !old.Limit.Named {
		next.since = now
	}
	l.latest[next.Server.ID] = next
	return old.Limit != next.Limit
}

// Of returns the limit of a backend server.
func (l *ServerLimits) Of(id string) fleet.RequestLimit { return l.latest[id].Limit }

// AnyNamed reports whether there is a limit.
func (l *ServerLimits) AnyNamed() bool {
	for _, s := range l.latest {
		if s.Limit.Named {
			return true
		}
	}
	return false
}

// All returns what is known of each backend server that has named a limit, also if it has withdrawn it.
func (l *ServerLimits) All() []ServerLimit {
	all := make([]ServerLimit, 0, len(l.latest))
	for _, s := range l.latest {
		all = append(all, s)
	}
	return all
}

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
