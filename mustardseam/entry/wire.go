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
	// Meta reads the caller's information on its request.
	Meta(h *fasthttp.RequestHeader) Meta
	// Forward builds the header for a backend server from the caller's header.
	Forward(h *fasthttp.RequestHeader, f Forward) http1.RequestHeader
	// Own reports whether an answer belongs to the request with an id.
	Own(h *fasthttp.ResponseHeader, id string) bool
	// Verdict returns what an answer says about the execution of the request.
	Verdict(h *fasthttp.ResponseHeader) Verdict
	// Notice reads what a backend server announces about itself in an answer.
	Notice(h *fasthttp.ResponseHeader) Notice
	// Answer builds the header for the caller from the header of the backend server.
	Answer(h *fasthttp.ResponseHeader) http1.ResponseHeader
}

// Codec translates the items of the store.
type Codec interface {
	// Decode returns the change that an item represents; ours is false for an item that does not concern this system. With an
	// error, the change is the one that applies while the item cannot be read, if there is one.
	Decode(i store.Item, lapse bool, now time.Time) (fleet.Change, bool, error)
	// Node returns the item with which an instance registers itself.
	Node(n fleet.Instance) (key string, value []byte, err error)
	// Quotas returns the item that stores the quota levels.
	Quotas(q fleet.QuotaSnapshot) (key string, value []byte, err error)
	// Progress returns the item that tells operators and instances the progress of a rollout.
	Progress(service string, p fleet.Progress) (key string, value []byte, err error)
}

// Meta is the caller's information on its request.
type Meta struct {
	ID        string
	Key       string        // Key of a team; empty if none was sent.
	Deadline  time.Duration // How long the caller waits; 0 if not given.
	Prompt    int           // Length of the prompt in tokens.
	Output    int           // Maximum length of the output in tokens.
	Hint      int           // Length of the output, in tokens, that the caller expects; 0 if not given.
	Counted   bool          // Prompt and Output were given.
	LastEvent string        // Id of the latest event that the caller has; empty if none.
}

// Forward is the information that an instance adds to a request to a backend server.
type Forward struct {
	Server    *fleet.Server
	Team      string        // Empty for a request without a team.
	Keyed     bool          // The configuration has teams, so the caller's key is not forwarded.
	Left      time.Duration // Time until the deadline; 0 for none.
	LastEvent string        // Id of the latest event that the caller has; empty if none.
	Resumed   bool          // LastEvent replaces the one that the caller sent.
}

// Notice is what a backend server announces about itself in an answer.
type Notice struct {
	Leaving bool          // It ends soon and must not get further requests.
	Quiet   time.Duration // How long this instance must not send it requests; 0 if not given.
}

// Verdict is what an answer says about the execution of the request.
type Verdict int

// Verdicts on answers.
const (
	Ran       Verdict = iota // The backend server ran the request.
	NotRun                   // It refused the request and did not run it.
	Elsewhere                // Another backend server has the address now; the request was not run.
	Unsigned                 // The answer lacks the signature of a backend server.
)
