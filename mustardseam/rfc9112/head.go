package rfc9112

// Framing is how the end of a body is indicated.
type Framing int

// Ways in which the end of a body is indicated.
const (
	// UntilClose means that the body ends with the connection.
	UntilClose Framing = iota
	// ByLength means that the body has a Content-Length.
	ByLength
	// Chunked means that the body has the chunked transfer coding.
	Chunked
	// NoBody means that the status allows no body.
	NoBody
)

// Head is what the head of a response says about the response.
type Head struct {
	Status  int // From 100 to 599, without 101.
	Framing Framing
	Length  int64 // Content-Length of the body in bytes, if Framing is ByLength.
}

// IsInterim reports whether another head follows for the same request.
func (h Head) IsInterim() bool { return h.Status < 200 }
