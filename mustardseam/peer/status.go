package peer

// Status is the state of an ask.
type Status string

// The states of an ask.
const (
	Granted          Status = "granted"
	Refused          Status = "refused"
	Pending          Status = "pending"
	NotHome          Status = "not-home"
	InProgress       Status = "in-progress"
	Done             Status = "done"
	Expired          Status = "key-expired"
	Unknown          Status = "outcome-unknown"
	ClaimUnavailable Status = "claim-unavailable"
)
