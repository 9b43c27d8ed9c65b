package tenure

import "time"

// Kind says what the caller has to do.
type Kind int

// The kinds of actions.
const (
	Read Kind = iota // Read the record.
	Swap             // Write Record if the key's mod revision is Last; 0 means that the key must not exist.
	Ask              // Ask every candidate in To for its consent.
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"read", "swap", "ask"}[k] }

// Action is one thing that the caller carries out; the kind says which fields are set.
type Action struct {
	Kind   Kind
	Record Record        // Swap
	Last   int64         // Swap
	Epoch  uint64        // Ask
	To     []Candidate   // Ask
	Hold   time.Duration // Ask; passed to Consent of the receiver.
}
