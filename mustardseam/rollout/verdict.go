package rollout

// Decision is the outcome of the test of a new version.
type Decision string

// The decisions of a test.
const (
	Undecided Decision = "undecided" // The evidence is not sufficient yet.
	Good      Decision = "good"      // The evidence is sufficient to advance from the current step.
	Bad       Decision = "bad"       // The new version must be rolled back; this decision is final.
)

// Verdict is the current result of a test.
type Verdict struct {
	Decision Decision `json:"decision"`
	Reason   string   `json:"reason,omitempty"` // Reason for a bad decision.
	Step     int      `json:"step"`             // Step to which the verdict applies.
	Samples  int      `json:"seen"`             // Number of the new version's responses assessed in this step.
}
