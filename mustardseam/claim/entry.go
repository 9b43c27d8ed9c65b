package claim

// state is how far a claim has come.
type state int

const (
	claimed state = iota
	started
	done
	notRun
	unknown
)

// entry is the claim of one key by one ask.
type entry struct {
	key       digest
	ask, from string
	state     state
	status    int
	holder    string

	granted bool  // Committed, or claimed in memory: the ask may be granted.
	loaded  bool  // Read from the store: an earlier home may have granted it.
	queued  bool  // Waits for a place in the open slot.
	row     int   // Index in the open slot; -1 when it is not there.
	slot    int64 // Slot of the last row; 0 when there is none.
}

func (e *entry) open() bool { return e.state == claimed || e.state == started }
