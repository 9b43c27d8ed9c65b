package peer

import (
	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// AskRequest asks a home for a permit, or polls for the decision on an earlier ask of the same id.
type AskRequest struct {
	Proto  Proto    `json:"proto"`
	Region string   `json:"region"`
	Pool   string   `json:"pool"`
	Ask    pool.Ask `json:"ask"`
	LeftMS int64    `json:"left-ms"` // Until the caller's deadline.
	HoldMS int64    `json:"hold-ms"` // How long the home may hold the poll.
	Marks  []string `json:"marks,omitempty"`

	// Previous is the outcome of the attempt that this one replaces. The home takes it in first, because it frees the
	// idempotency key that the ask claims again.
	Previous *pool.Outcome `json:"previous,omitempty"`
}

// Status says what became of an ask.
type Status string

// The states of an ask.
const (
	Granted    Status = "granted"
	Refused    Status = "refused"
	Pending    Status = "pending"
	NotHome    Status = "not-home"
	InProgress Status = "in-progress"
	Done       Status = "done"
	Expired    Status = "key-expired"
	Unknown    Status = "outcome-unknown"
	NoClaim    Status = "claim-unavailable"
)

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
}

// DoneRequest reports outcomes to a home and withdraws asks that are no longer wanted.
type DoneRequest struct {
	Proto    Proto          `json:"proto"`
	Pool     string         `json:"pool"`
	From     string         `json:"from"`
	Address  string         `json:"address"` // Of the sender, which keeps the answers.
	Outcomes []pool.Outcome `json:"outcomes,omitempty"`
	Withdraw []string       `json:"withdraw,omitempty"`
}

// Ack answers a message that needs no other answer.
type Ack struct {
	Proto   Proto `json:"proto"`
	NotHome bool  `json:"not-home,omitempty"` // The receiver is not the home of the pool.
}

// Heartbeat spreads membership, configuration, rollback marks and home epochs.
type Heartbeat struct {
	Proto    Proto              `json:"proto"`
	From     member.Member      `json:"from"`
	Members  []member.Member    `json:"members,omitempty"`
	Revision uint64             `json:"revision"`
	Digest   string             `json:"digest"`
	Marks    []string           `json:"marks,omitempty"`
	Homes    map[string]HomeRef `json:"homes,omitempty"` // By pool.
}

// HomeRef names the home of a pool.
type HomeRef struct {
	Epoch   uint64 `json:"epoch"`
	Home    string `json:"home"` // Incarnation.
	Address string `json:"address"`
}

// ConsentRequest asks a candidate to promise that it will not take the pool over for the given time.
type ConsentRequest struct {
	Proto  Proto  `json:"proto"`
	Pool   string `json:"pool"`
	Epoch  uint64 `json:"epoch"`
	From   string `json:"from"`
	HoldMS int64  `json:"hold-ms"`
}

// ConsentAnswer says whether the candidate promised.
type ConsentAnswer struct {
	Proto Proto  `json:"proto"`
	From  string `json:"from"` // Incarnation.
	Given bool   `json:"given"`
	Epoch uint64 `json:"epoch"` // Highest epoch that the candidate has seen.
}
