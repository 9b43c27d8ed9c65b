package member

// State says what a table knows of an incarnation.
type State string

// The states of an incarnation.
const (
	Unknown   State = "unknown"   // Never heard of, or removed.
	Alive     State = "alive"     // Made progress within Config.Suspect.
	Suspected State = "suspected" // Made no progress for Config.Suspect; to be probed.
	Failed    State = "failed"    // Made no progress for Config.Fail, or was replaced by a newer incarnation.
)
