package pool

// Decisions are the permits and refusals that the home delivers next.
type Decisions struct {
	Permits  []Permit
	Refusals []Refusal
}
