package peer

// ConsentAnswer says whether the candidate promised.
type ConsentAnswer struct {
	Proto Proto  `json:"proto"`
	From  string `json:"from"` // Incarnation.
	Given bool   `json:"given"`
	Epoch uint64 `json:"epoch"` // Highest epoch that the candidate has seen.
}
