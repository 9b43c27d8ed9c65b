package fleet

// Crash is the observation that a backend server ended the connection of a request at the beginning of its answer. Times are
// relative, since the clocks of instances differ.
type Crash struct {
	Server    Incarnation `json:"server"`
	Parts     []string    `json:"parts"`           // IDs of the prompt's shared parts, sorted.
	Sound     []string    `json:"sound,omitempty"` // Those of Parts that backend servers have answered since.
	AgeMS     int64       `json:"age-ms"`          // Milliseconds since the crash.
	RefusedMS int64       `json:"refused-ms"`      // Milliseconds since the crash was last a reason to refuse a request.
}
