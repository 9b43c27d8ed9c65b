package peer

// ConsentAnswer reports whether the candidate gave its consent.
type ConsentAnswer struct {
	Proto Proto  `json:"proto"`
	From  string `json:"from"` // Incarnation of the candidate.
	Given bool   `json:"given"`
	Epoch uint64 `json:"epoch"` // Highest epoch known to the candidate.
}
