package entry

import (
	"math"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// quotaSaveInterval is how often the hub checks whether to save the quota levels.
	quotaSaveInterval = time.Second
	// quotaSaveThreshold is the relative change of a level above which the levels are saved before maxQuotaSaveDelay has
	// passed. It limits the number of calls to the store.
	quotaSaveThreshold = 0.1
	maxQuotaSaveDelay  = 3 * time.Second
	// maxSavedQuotaAge is how old saved levels may be for an instance that starts: maxQuotaSaveDelay plus the 5 s within which
	// instances that lost power are back. Older levels miss what was used while the store was unavailable.
	maxSavedQuotaAge = maxQuotaSaveDelay + 5*time.Second
	// maxClockSkew is how far the clock of the instance that saved the levels may be ahead.
	maxClockSkew = 2 * time.Second
)

// saveQuotas saves the quota levels in the store while this instance is the hub. If all instances are lost, the store is
// the only place that holds them; without them a team would get its full burst again, or nothing.
func (i *Instance) saveQuotas() {
	var written fleet.QuotaSnapshot
	for i.ctx.Err() == nil {
		i.sleep(quotaSaveInterval)
		if !i.reporter.isHub() || i.stopping.Load() != nil {
			continue
		}
		i.recoverPanics("keeping of quotas", func() {
			now := time.Now()
			q := fleet.QuotaSnapshot{At: now, Levels: i.scheduler.savedLevels(now)}
			if len(q.Levels) == 0 || now.Sub(written.At) < maxQuotaSaveDelay && !levelsChanged(written.Levels, q.Levels) {
				return
			}
			if err := i.writeQuotas(q); err != nil {
				event.StoreWriteFailed.Log(i.log()).Err(err).Send()
				return
			}
			written = q
		})
	}
}

// levelsChanged reports whether a level has changed enough to be saved.
func levelsChanged(old, levels map[string]float64) bool {
	for team, level := range levels {
		before, ok := old[team]
		if !ok || math.Abs(level-before) > quotaSaveThreshold*max(math.Abs(before), math.Abs(level)) {
			return true
		}
	}
	return false
}

func (i *Instance) writeQuotas(q fleet.QuotaSnapshot) error {
	key, value, err := i.cfg.StoreCodec.Quotas(q)
	if err != nil {
		return err
	}
	return i.writeUnchanged(key, value, registerTimeout)
}

// savedLevels returns the levels to save for instances that start after the loss of all; nil while this instance does not
// know them.
func (s *Scheduler) savedLevels(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.quota.Settled(now) {
		return nil
	}
	return s.quota.LevelsToStore(now)
}

// restoreQuotas applies levels saved before the loss of all instances, unless they are too old.
func (s *Scheduler) restoreQuotas(now time.Time, q fleet.QuotaSnapshot) {
	// Compares wall clock times, since the monotonic clocks of different processes are unrelated.
	if age := now.Round(0).Sub(q.At.Round(0)); age > maxSavedQuotaAge || age < -maxClockSkew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.SetStoredLevels(now, q.Levels)
}
