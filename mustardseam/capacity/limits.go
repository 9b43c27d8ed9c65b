package capacity

// Limits holds the configured limits of a backend server, in concurrent requests.
type Limits struct {
	Warm int // Limit once the server is warm.
	Cold int // Limit during cold start.
}
