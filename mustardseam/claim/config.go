package claim

import "time"

// Config configures a Journal. Zero durations and sizes select the defaults.
type Config struct {
	Epoch uint64 // Epoch of the home record.
	Self  string // Incarnation of the home.

	// Retention is how long a key is remembered; default 1 h.
	Retention time.Duration
	// SlotDuration is the time that one slot covers; default 30 s.
	SlotDuration time.Duration
	// MaxSlotBytes bounds the encoded size of a slot; default 512 KiB.
	MaxSlotBytes int
	// FailureThreshold is how long a write may be unanswered before the store counts as failing. From then on untimed
	// keys are refused. It also bounds how far a timed key may be ahead of the home's clock. Default 5 s.
	FailureThreshold time.Duration
	// MemoryClaimsAfter is how long a write must be unanswered before timed keys are claimed in memory; default 10 s.
	// See recordMemoryGap.
	MemoryClaimsAfter time.Duration
	// MaxClockSkew bounds the difference between the wall clocks of two instances; default 1 s.
	MaxClockSkew time.Duration
	// StampInterval is the interval at which the complete-through stamp is written; default 2 s.
	StampInterval time.Duration
	// BatchDelay is how long claims are collected for one write; default 20 ms.
	BatchDelay time.Duration
	// MinWriteInterval is the minimum time between two writes; default 100 ms.
	MinWriteInterval time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Retention, time.Hour)
	setDefault(&c.SlotDuration, 30*time.Second)
	setDefault(&c.MaxSlotBytes, 512<<10)
	setDefault(&c.FailureThreshold, 5*time.Second)
	setDefault(&c.MemoryClaimsAfter, 10*time.Second)
	setDefault(&c.MaxClockSkew, time.Second)
	setDefault(&c.StampInterval, 2*time.Second)
	setDefault(&c.BatchDelay, 20*time.Millisecond)
	setDefault(&c.MinWriteInterval, 100*time.Millisecond)
	return c
}

// setDefault stores value in *p if *p is the zero value.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// slotRetention returns how long a slot is kept after its end. A timed key may be ahead of the home's clock by
// FailureThreshold, and another home's clock may differ by MaxClockSkew. A claim must be kept until its key is
// refused as expired.
func (c Config) slotRetention() time.Duration {
	return c.Retention + c.FailureThreshold + c.MaxClockSkew
}
