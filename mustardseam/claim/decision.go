package claim

// Result says what becomes of a keyed ask.
type Result int

// The results of a claim.
const (
	Proceed     Result = iota // Claimed for this ask; it may be queued and granted.
	Wait                      // Claimed for this ask; granted only after Committed or ReadBack names it.
	InProgress                // Another ask holds the key.
	Done                      // The request ran; Status, Holder and Request are set.
	Expired                   // The key's time lies outside what is remembered; this ask does not run.
	Unknown                   // Whether the request ran cannot be told; never run again.
	Unavailable               // No claim can be recorded now; this ask does not run.
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"proceed", "wait", "in-progress", "done", "expired", "unknown", "unavailable"}[r]
}

// Decision is the answer to a claim.
type Decision struct {
	Result  Result
	Status  int    // HTTP status of a done request.
	Holder  string // Address of the instance that has the answer of a done request.
	Request string // Ask that ran.
	NotRun  bool   // An unavailable claim only: it is certain that no ask with the key has run.
}

// Standing says by what right the caller acts as home.
type Standing int

// The standings of a home.
const (
	ByStore   Standing = iota // Confirmed by the store.
	ByConsent                 // Confirmed by the candidates, without a lapse, while the store does not answer.
	ByShare                   // Static share, or by consent after a lapse; keyed requests are refused.
)
