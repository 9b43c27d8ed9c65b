package claim

import "time"

// Config sets up a Journal; zero durations and sizes stand for the defaults.
type Config struct {
	Epoch uint64 // Of the home's record.
	Self  string // Incarnation of the home.

	Retention    time.Duration // How long a key is remembered; 1 h.
	Slot         time.Duration // Time that one slot covers; 30 s.
	MaxSlotBytes int           // 512 KiB.
	Gap          time.Duration // Store failure after which untimed keys are refused; 5 s.
	Memory       time.Duration // Store failure after which timed keys are claimed in memory; 10 s. See noteGap.
	Skew         time.Duration // Bound of the difference between wall clocks of instances; 1 s.
	Stamp        time.Duration // Interval of the complete-through stamp; 2 s.
	Batch        time.Duration // How long a write collects claims; 20 ms.
	Interval     time.Duration // Least time between two writes; 100 ms.
}

func (c Config) withDefaults() Config {
	set(&c.Retention, time.Hour)
	set(&c.Slot, 30*time.Second)
	set(&c.MaxSlotBytes, 512<<10)
	set(&c.Gap, 5*time.Second)
	set(&c.Memory, 10*time.Second)
	set(&c.Skew, time.Second)
	set(&c.Stamp, 2*time.Second)
	set(&c.Batch, 20*time.Millisecond)
	set(&c.Interval, 100*time.Millisecond)
	return c
}

func set[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// remembered is how long a slot is kept after its end. A timed key may be ahead of the home's clock by Gap, and another
// home's clock differs by Skew; until the key is refused as expired, its claim must still be there.
func (c Config) remembered() time.Duration { return c.Retention + c.Gap + c.Skew }
