package claim

import "time"

// Journal holds the claims of one pool at its home.
type Journal struct {
	cfg Config
}

// New returns an empty Journal.
func New(cfg Config) *Journal { return &Journal{cfg: cfg} }

// Load takes the slots of earlier homes; ready is the moment from which this home may grant.
func (j *Journal) Load(now, ready time.Time, slots []Slot) error { return nil }

// SetEpoch raises the epoch after the home changed its own record.
func (j *Journal) SetEpoch(epoch uint64) {}

// Ready tells whether the open slot belongs to this home, so that claims can be committed.
func (j *Journal) Ready() bool { return false }

// Fenced tells whether a newer home has taken the journal over; no claim succeeds any more.
func (j *Journal) Fenced() bool { return false }

// Claim claims a key for an ask of the entry instance from.
func (j *Journal) Claim(now time.Time, key, ask, from string, s Standing) Decision { return Decision{} }

// Pending returns the next write when one is due and none is in flight.
func (j *Journal) Pending(now time.Time) (Write, bool) { return Write{}, false }

// Committed reports that the store applied a write and returns the asks that may now be granted.
func (j *Journal) Committed(now time.Time, id uint64, mod int64) []string { return nil }

// Lost reports a write without an answer, or a conflict; the slot must be read back.
func (j *Journal) Lost(now time.Time, id uint64) {}

// Failed reports a write that was certainly not sent.
func (j *Journal) Failed(now time.Time, id uint64) {}

// Unsettled returns the slot to read back when a read is due.
func (j *Journal) Unsettled(now time.Time) (slot int64, ok bool) { return 0, false }

// ReadBack takes the slot's content and returns the asks that may now be granted.
func (j *Journal) ReadBack(now time.Time, slot int64, value []byte, mod int64, exists bool) ([]string, error) {
	return nil, nil
}

// ReadFailed reports a read back without an answer.
func (j *Journal) ReadFailed(now time.Time) {}

// Start records that a permit for the ask is handed out; it is false when the ask must not be granted.
func (j *Journal) Start(now time.Time, ask string) bool { return false }

// Finish records that the ask ran, with the HTTP status and the address of the instance that holds the answer.
func (j *Journal) Finish(now time.Time, ask string, status int, holder string) {}

// NotRun records that the ask certainly did not run, which frees its key.
func (j *Journal) NotRun(now time.Time, ask string) {}

// Abandon settles the open claims of a failed entry instance: unknown when the start could have happened.
func (j *Journal) Abandon(now time.Time, from string) {}

// Owners returns the entry instances that have open claims, so that failed ones can be abandoned.
func (j *Journal) Owners() []string { return nil }

// Stale returns the slots that can be deleted.
func (j *Journal) Stale(now time.Time) []StaleSlot { return nil }

// Deleted forgets a deleted slot.
func (j *Journal) Deleted(number int64) {}
