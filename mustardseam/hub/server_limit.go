package hub

import "github.com/mustardseam/mustardseam/mustardseam/fleet"

// ServerLimit is the request limit of a backend server as an instance knows it.
type ServerLimit struct {
	Server fleet.Incarnation  `json:"server"`
	Limit  fleet.RequestLimit `json:"limit"`  // Not named if the backend server has withdrawn its limit.
	AgeMS  int64              `json:"age-ms"` // Milliseconds since it was known.
}
