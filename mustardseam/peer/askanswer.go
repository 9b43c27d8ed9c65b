package peer

import "github.com/mustardseam/mustardseam/mustardseam/pool"

// AskAnswer is the home's answer to an ask.
type AskAnswer struct {
	Proto   Proto         `json:"proto"`
	Status  Status        `json:"status"`
	Permit  *pool.Permit  `json:"permit,omitempty"`
	Refusal *pool.Refusal `json:"refusal,omitempty"`
	Code    int           `json:"code,omitempty"`   // HTTP status of a done request.
	Holder  string        `json:"holder,omitempty"` // Address of the instance that has the answer.
	Request string        `json:"request,omitempty"`
	Epoch   uint64        `json:"epoch,omitempty"`

	// NotRun tells, in an answer that grants nothing, that nothing has certainly run: neither this request nor, when it has
	// a key, an earlier one with the same key.
	NotRun bool `json:"not-run,omitempty"`
}
