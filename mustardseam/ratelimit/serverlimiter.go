package ratelimit

import (
	"slices"
	"strconv"
	"time"
)

const (
	// limitRoundTime is how long the same instances use a backend server whose limit is too low for all instances.
	limitRoundTime = 15 * time.Second
	// limitHandover is how long an instance that gets a share in a new round waits before it accrues requests. By then, all
	// instances that had a share in the previous round know of the new one.
	limitHandover = time.Second
	// limitBurstTime is the time whose share an instance may send at once.
	limitBurstTime = 250 * time.Millisecond
	// minLimitRate is the rate, in requests per second, at which a backend server with a lower limit is probed. Without any
	// request no instance would learn that it has withdrawn the limit.
	minLimitRate = 0.1
)

// ServerLimiter keeps the requests from all instances together within the limits of backend servers. Each instance has
// a share of a limit. If the limit is too low for all instances, some share it for a round and others in the next; which
// ones follows from hashes that all instances compute alike. It is not safe for concurrent use.
type ServerLimiter struct {
	limits     *ServerLimits
	instances  []string // Instances that may send to the backend servers, sorted.
	round      int64
	roundStart time.Time // When this instance learned of the round.
	shares     map[shareKey]float64
	accounts   map[shareKey]*tokenBucket
}

// shareKey identifies the share of an instance in the limit of a backend server. The hub keeps an account for each
// instance for which it places requests.
type shareKey struct {
	server   string
	instance string
}

// NewServerLimiter returns a limiter for the limits of backend servers, used by this instance only.
func NewServerLimiter(limits *ServerLimits, instance string) *ServerLimiter {
	return &ServerLimiter{
		limits: limits, instances: []string{instance}, shares: map[shareKey]float64{}, accounts: map[shareKey]*tokenBucket{},
	}
}

// SetInstances replaces the sorted list of the instances that share the limits.
func (l *ServerLimiter) SetInstances(instances []string) {
	if !slices.Equal(l.instances, instances) {
		l.instances = instances
		clear(l.shares)
	}
}

// LimitsChanged must be called after a change of the limits.
func (l *ServerLimiter) LimitsChanged() { clear(l.shares) }

// Round returns the number of the round.
func (l *ServerLimiter) Round() int64 { return l.round }

// AdvanceRound begins the next round if the current one is over; only the hub calls it.
func (l *ServerLimiter) AdvanceRound(now time.Time) {
	if now.Sub(l.roundStart) >= limitRoundTime {
		l.AdoptRound(now, l.round+1)
	}
}

// AdoptRound begins a round of another instance if it is a later one.
func (l *ServerLimiter) AdoptRound(now time.Time, round int64) {
	if round > l.round {
		l.round, l.roundStart = round, now
		clear(l.shares)
	}
}

// Wait returns how long an instance must wait before it may send a request to a backend server.
func (l *ServerLimiter) Wait(now time.Time, server, instance string) time.Duration {
	if !l.limits.Of(server).Named {
		return 0
	}
	key := shareKey{server: server, instance: instance}
	if l.share(key) == 0 {
		return max(limitHandover, l.roundStart.Add(limitRoundTime).Sub(now))
	}
	return l.account(now, key).waitFor(now, 1)
}

// Charge counts a request of an instance to a backend server.
func (l *ServerLimiter) Charge(now time.Time, server, instance string) {
	if l.limits.Of(server).Named {
		l.account(now, shareKey{server: server, instance: instance}).deduct(now, 1)
	}
}

// Sweep deletes the accounts at backend servers without a limit.
func (l *ServerLimiter) Sweep() {
	for key := range l.accounts {
		if !l.limits.Of(key.server).Named {
			delete(l.accounts, key)
		}
	}
}

// sharers returns the rate, in requests per second, at which a backend server is used and the number of instances that
// share it.
func (l *ServerLimiter) sharers(server string) (rate float64, sharers int) {
	rate = max(minLimitRate, l.limits.Of(server).PerSecond)
	return rate, max(1, min(len(l.instances), int(rate)))
}

// share returns the requests per second that an instance may send to a backend server.
func (l *ServerLimiter) share(key shareKey) float64 {
	share, known := l.shares[key]
	if known {
		return share
	}
	rate, sharers := l.sharers(key.server)
	if rank(key.server+"#"+strconv.FormatInt(l.round, 10), key.instance, l.instances) < sharers {
		share = rate / float64(sharers)
	}
	l.shares[key] = share
	return share
}

// account returns the token bucket of an instance at a backend server. It starts empty when the limit is known or, in a
// later round, when the instance gets a share.
func (l *ServerLimiter) account(now time.Time, key shareKey) *tokenBucket {
	share := l.share(key)
	b := l.accounts[key]
	if b == nil {
		b = &tokenBucket{}
		l.accounts[key] = b
	}
	burst := 0.0
	if share > 0 {
		burst = max(1, share*limitBurstTime.Seconds())
	}
	if b.rate == 0 && share > 0 {
		since := l.limits.latest[key.server].since
		_, sharers := l.sharers(key.server)
		if usable := l.roundStart.Add(limitHandover); sharers < len(l.instances) && usable.After(since) {
			since = usable
		}
		b.setLevel(now, min(burst, share*now.Sub(since).Seconds()))
	}
	b.resize(now, share, burst)
	return b
}
