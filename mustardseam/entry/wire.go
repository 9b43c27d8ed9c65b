package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// Wire translates the headers of callers and backend servers.
type Wire interface {
	// Meta reads what a caller says of its request.
	Meta(h *fasthttp.RequestHeader) Meta
	// Forward makes the header for a backend server of the one that the caller sent.
	Forward(h *fasthttp.RequestHeader, f Forward) http1.RequestHead
	// Own reports whether an answer is the one to the request of an id.
	Own(h *fasthttp.ResponseHeader, id string) bool
	// Verdict says what an answer tells about the run.
	Verdict(h *fasthttp.ResponseHeader) Verdict
	// Notice reads what a backend server says of itself in an answer.
	Notice(h *fasthttp.ResponseHeader) Notice
	// Answer makes the header for the caller of the one that the backend server sent.
	Answer(h *fasthttp.ResponseHeader) http1.Head
}

// Codec translates the items of the store.
type Codec interface {
	// Decode returns the change that an item stands for, and false when it is none of this system's business. With an error,
	// the change is what holds while the item cannot be read, if anything.
	Decode(i store.Item, lapse bool, now time.Time) (fleet.Change, bool, error)
	// Node returns the item under which an instance registers itself.
	Node(n fleet.Node) (key string, value []byte, err error)
	// Quotas returns the item that keeps what quotas hold.
	Quotas(q fleet.Quotas) (key string, value []byte, err error)
	// Progress returns the item that tells operators and instances how far a rollout is.
	Progress(service string, p fleet.Progress) (key string, value []byte, err error)
}

// Meta is what a caller says of its request.
type Meta struct {
	ID        string
	Key       string        // Of a team; empty without one.
	Deadline  time.Duration // How long the caller waits; 0 when it does not say.
	Prompt    int           // Tokens.
	Output    int           // Tokens, at most.
	Hint      int           // Output that the caller expects; 0 when it does not say.
	Counted   bool          // The numbers of tokens were given.
	LastEvent string        // Id of the latest event that the caller has; empty without one.
}

// Forward is what this system tells a backend server.
type Forward struct {
	Server    *fleet.Server
	Team      string        // Empty without one.
	Keyed     bool          // The configuration has teams, so the key stays here.
	Left      time.Duration // Until the deadline; 0 for none.
	LastEvent string        // Id of the latest event that the caller has; empty without one.
	Resumed   bool          // LastEvent goes before what the caller sent.
}

// Notice is what a backend server says of itself in an answer.
type Notice struct {
	Leaving bool          // It ends soon and is to get no further requests.
	Quiet   time.Duration // It wants no requests from this instance for so long; 0 when it does not say.
}

// Verdict says what an answer tells about the run.
type Verdict int

// The verdicts on answers.
const (
	Ran       Verdict = iota // The backend server ran the request.
	NotRun                   // It refused the request and did not run it.
	Elsewhere                // Another backend server has the address now; the request was not run.
	Unsigned                 // The answer does not bear the signature of a backend server.
)
