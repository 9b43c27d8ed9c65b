package claim

// Result is the outcome of a claim.
type Result int

// The results of a claim.
const (
	Proceed     Result = iota // Claimed for this ask, which may be queued and granted.
	Wait                      // Claimed for this ask, which may be granted only after WriteCommitted or ReadBackDone returns it.
	InProgress                // Another ask holds the key, or this ask was started already.
	Done                      // The request ran; Status, AnswerAddress and Request are set.
	Expired                   // The key's time is outside the retained period; this ask does not run.
	Unknown                   // It is unknown whether the request ran; it must never run again.
	Unavailable               // No claim can be recorded now; this ask does not run.
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"proceed", "wait", "in-progress", "done", "expired", "unknown", "unavailable"}[r]
}

// Decision is the answer to a claim.
type Decision struct {
	Result        Result
	Status        int    // Done: HTTP status of the request.
	AnswerAddress string // Done: address of the instance that keeps the answer.
	Request       string // Done: the ask that ran.
	NotRun        bool   // Unavailable: no ask with the key has run.
}

// Authority is the basis on which the caller acts as home.
type Authority int

// The authorities of a home.
const (
	ByStore       Authority = iota // Confirmed by the store.
	ByConsent                      // Confirmed by the candidates, without a long lapse, while the store does not answer.
	ByStaticShare                  // Static share, or confirmed by consent after a long lapse. Keyed requests are refused.
)
