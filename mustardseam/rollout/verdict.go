package rollout

// Decision is what the test has decided on the new version.
type Decision string

// The decisions of a test.
const (
	Undecided Decision = "undecided" // The evidence does not suffice yet.
	Good      Decision = "good"      // The evidence suffices to advance from the current step.
	Bad       Decision = "bad"       // The new version is to be taken back; this is final.
)

// Verdict is the state of a test.
type Verdict struct {
	Decision Decision `json:"decision"`
	Reason   string   `json:"reason,omitempty"` // Of a bad version.
	Step     int      `json:"step"`             // That a good verdict is about.
	Seen     int      `json:"seen"`             // Samples of the new version in this step.
}
