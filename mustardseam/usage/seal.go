package usage

import "time"

const (
	// silentShare is the part of the time until a report is due for which a window waits for instances that no longer report.
	// They may be cut off and come back; a further holder and a repeated call fit into the rest.
	silentShare = 0.4
	// awaitedShare is the part of the time until a report is due after which a window is sealed without further counts.
	awaitedShare = 0.6
	// isolatedShare is the part after which a holder that lacks the counts of most instances counts as isolated.
	isolatedShare = 0.3
)

// Due is a window that is to be sealed.
type Due struct {
	Sealed
	Missing int // Runs of instances whose counts may be incomplete.
}

// Seal returns the windows that are to be sealed at a true time, given the sealed ones and the instances that reported lately.
// A window of which no run is known is left out: its counts are lost, and it may have been sealed before.
func (c Config) Seal(now time.Time, l *Ledger, sealed Record, active []string) []Due {
	var due []Due
	c.eachUnsealed(now, l, sealed, active, func(number int64, age time.Duration, v Coverage) {
		waited := age >= c.part(awaitedShare) || v.Awaited == 0 && age >= c.part(silentShare)
		if v.Awaited+v.Silent > 0 && !waited {
			return
		}
		due = append(due, Due{Sealed: Sealed{Window: number, Counts: l.Total(number)}, Missing: v.Missing()})
	})
	return due
}

// IsIsolated reports whether most instances stopped reporting in a window. The instance is then probably cut off from them.
func (c Config) IsIsolated(now time.Time, l *Ledger, sealed Record, active []string) bool {
	isolated := false
	c.eachUnsealed(now, l, sealed, active, func(_ int64, age time.Duration, v Coverage) {
		isolated = isolated || age >= c.part(isolatedShare) && v.Silent > v.Complete
	})
	return isolated
}

// eachUnsealed calls f for the ended windows that may be sealed, with the time since their end.
func (c Config) eachUnsealed(
	now time.Time, l *Ledger, sealed Record, active []string, f func(number int64, age time.Duration, v Coverage),
) {
	current := c.Number(now)
	for number := current - sealableWindows; number < current; number++ {
		if _, ok := sealed.Find(number); ok {
			continue
		}
		if v := l.Coverage(number, active); v.Known {
			f(number, now.Sub(c.End(number)), v)
		}
	}
}

func (c Config) part(share float64) time.Duration { return time.Duration(share * float64(c.Due)) }
