package tenure

import "time"

// Kind is the operation that an Action asks the caller to perform.
type Kind int

// The kinds of actions.
const (
	Read Kind = iota // Read the record from the store.
	Swap             // Write Record if the key's mod revision is Last; 0 means that the key must not exist.
	Ask              // Ask every candidate in To for its consent.
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"read", "swap", "ask"}[k] }

// Action is an operation that the caller performs. Kind determines which fields are set.
type Action struct {
	Kind   Kind
	Record Record        // Swap: the value to write.
	Last   int64         // Swap: the mod revision that the key must have; 0 if it must not exist.
	Epoch  uint64        // Ask: the epoch for which consent is requested.
	To     []Candidate   // Ask: the candidates to ask.
	Hold   time.Duration // Ask: the duration of the consent; the receiver passes it to Consent.
}
