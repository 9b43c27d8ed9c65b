package entry

import (
	"math"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// keepEvery is how often the hub looks whether to keep what quotas hold.
	keepEvery = time.Second
	// keepChange is the part by which the level of a quota must have changed to be written again before keepLatest has
	// passed; calls of the store cost.
	keepChange = 0.1
	keepLatest = 3 * time.Second
	// keptFor is how old kept levels may be for an instance that starts: keepLatest and the five seconds within which
	// instances that lost power are back. Older levels miss what was used while the store was away.
	keptFor = keepLatest + 5*time.Second
	// keptSkew is how far the clock of the instance that wrote them may be ahead.
	keptSkew = 2 * time.Second
)

// keepQuotas keeps in the store what quotas hold, while this instance is the hub. When all instances are lost, nobody else
// knows it, and a team would get its burst again or nothing.
func (i *Instance) keepQuotas() {
	var written fleet.Quotas
	for i.ctx.Err() == nil {
		i.sleep(keepEvery)
		if !i.gossip.leads() || i.stopping.Load() != nil {
			continue
		}
		i.contain("keeping of quotas", func() {
			now := time.Now()
			q := fleet.Quotas{At: now, Levels: i.scheduler.keep(now)}
			if len(q.Levels) == 0 || now.Sub(written.At) < keepLatest && !moved(written.Levels, q.Levels) {
				return
			}
			if err := i.writeQuotas(q); err != nil {
				event.StoreRefused.On(i.log()).Err(err).Send()
				return
			}
			written = q
		})
	}
}

// moved reports whether a level has changed enough to be written.
func moved(old, levels map[string]float64) bool {
	for team, level := range levels {
		before, ok := old[team]
		if !ok || math.Abs(level-before) > keepChange*max(math.Abs(before), math.Abs(level)) {
			return true
		}
	}
	return false
}

func (i *Instance) writeQuotas(q fleet.Quotas) error {
	key, value, err := i.cfg.Codec.Quotas(q)
	if err != nil {
		return err
	}
	return i.writeUnchanged(key, value, registerTime)
}

// keep returns what quotas hold, for instances that start after the loss of all; nil while this one does not know it.
func (s *Scheduler) keep(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.quota.Settled(now) {
		return nil
	}
	return s.quota.Keep(now)
}

// recoverQuotas takes in what quotas held before the loss of all instances, unless that is too long ago.
func (s *Scheduler) recoverQuotas(now time.Time, q fleet.Quotas) {
	// The time of day counts, since the steady clocks of other processes have nothing in common.
	if age := now.Round(0).Sub(q.At.Round(0)); age > keptFor || age < -keptSkew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Recover(now, q.Levels)
}
