package tenure

import "time"

// ActionKind is the operation that an Action asks the caller to perform.
type ActionKind int

// The kinds of actions.
const (
	Read ActionKind = iota // Read the record from the store.
	Swap                   // Write Record if the key's mod revision is ExpectedMod; 0 means that the key must not exist.
	Ask                    // Ask every candidate in To for its consent.
)

// String returns the kind's name.
func (k ActionKind) String() string { return [...]string{"read", "swap", "ask"}[k] }

// Action is an operation that the caller performs. Kind determines which fields are set.
type Action struct {
	Kind            ActionKind
	Record          Record        // Swap: the value to write.
	ExpectedMod     int64         // Swap: the mod revision that the key must have; 0 if it must not exist.
	Epoch           uint64        // Ask: the epoch for which consent is requested.
	To              []Candidate   // Ask: the candidates to ask.
	ConsentDuration time.Duration // Ask: the duration of the consent; the receiver passes it to Consent.
}
