package member

// State is the state of an incarnation in a table.
type State string

// The states of an incarnation.
const (
	Unknown   State = "unknown"   // Never seen in an entry, or removed.
	Alive     State = "alive"     // Made progress within Config.SuspectAfter.
	Suspected State = "suspected" // Made no progress for Config.SuspectAfter; must be probed.
	Failed    State = "failed"    // Made no progress for Config.FailAfter, or was replaced by another incarnation.
)
