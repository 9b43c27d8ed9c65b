package claim

import "time"

// Config sets up a Journal; zero durations and sizes stand for the defaults.
type Config struct {
	Epoch uint64 // Of the home's record.
	Self  string // Incarnation of the home.

	Retention    time.Duration // How long a key is remembered; 1 h.
	Slot         time.Duration // Time that one slot covers; 30 s.
	MaxSlotBytes int           // 512 KiB.
	Gap          time.Duration // Store failure after which claims are kept in memory; 5 s.
	Skew         time.Duration // Bound of the difference between wall clocks of instances; 1 s.
	Stamp        time.Duration // Interval of the complete-through stamp; 2 s.
	Batch        time.Duration // How long a write collects claims; 20 ms.
	Interval     time.Duration // Least time between two writes; 100 ms.
}
