package peer

import "github.com/mustardseam/mustardseam/mustardseam/pool"

// AskAnswer is the home's answer to an ask.
type AskAnswer struct {
	Proto         Proto         `json:"proto"`
	Status        Status        `json:"status"`
	Permit        *pool.Permit  `json:"permit,omitempty"`
	Refusal       *pool.Refusal `json:"refusal,omitempty"`
	HTTPStatus    int           `json:"code,omitempty"`    // HTTP status of a done request.
	AnswerAddress string        `json:"holder,omitempty"`  // Address of the instance that keeps the answer of a done request.
	Request       string        `json:"request,omitempty"` // Ask that ran, of a done request.
	Epoch         uint64        `json:"epoch,omitempty"`   // Epoch of the permit, if the ask was granted.

	// NotRun reports, in an answer without a permit, that certainly nothing ran: neither this request nor, if it has
	// a key, an earlier one with the same key.
	NotRun bool `json:"not-run,omitempty"`
}
