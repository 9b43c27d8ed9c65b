package duty

import "time"

// Observation is what an instance knows of the store and of the other candidates.
type Observation struct {
	Era      int64 // Position up to which the instance's copy of the store is complete.
	Revision int64
	Current  bool // The copy is not outdated, so that the store can be expected to answer.

	Record         *Record // Record of the holder in the copy; nil if there is none.
	RecordRevision int64   // Revision of the record; 0 if there is none.
	// RecordOutdated says that the record is from an earlier era of the store, whose leases are lost.
	RecordOutdated bool

	Eligible bool          // The instance may become the holder.
	Rank     int           // Number of better candidates.
	Delay    time.Duration // Further time that the instance leaves the record to others.
}
