package capacity

// Limits are the configured limits of a backend server, in requests at a time.
type Limits struct {
	Warm int
	Cold int // In cold start.
}
