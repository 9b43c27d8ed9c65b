package claim

// state is the progress of a claim.
type state int

const (
	claimed state = iota // Recorded or to be recorded; not started.
	started              // The permit was handed out.
	done                 // The request ran.
	notRun               // The request certainly did not run.
	unknown              // The request may or may not have run.
)

// entry is the claim of one key by one ask.
type entry struct {
	key        digest
	ask, owner string // Ask that claims the key, and the entry instance that sent it.
	state      state
	status     int    // HTTP status of a done request.
	holder     string // Address of the instance that keeps the answer of a done request.

	grantable bool  // Committed, or claimed in memory, so that the ask may be granted.
	fromStore bool  // Read from the store, so that an earlier home may have granted the ask.
	queued    bool  // Waits for a row in the open slot.
	rowIndex  int   // Index of the row in the open slot; -1 if it has none there.
	lastSlot  int64 // Number of the slot that has the last row; 0 if there is none.
}

// isOpen reports whether the outcome of the claim is not recorded yet.
func (e *entry) isOpen() bool { return e.state == claimed || e.state == started }
