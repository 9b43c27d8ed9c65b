package pool

// Decisions holds the permits and refusals that the home instance delivers next.
type Decisions struct {
	Permits  []Permit
	Refusals []Refusal
}
