package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// HeaderCodec translates between the headers of callers and those of backend servers.
type HeaderCodec interface {
	// RequestMeta reads the caller's information on its request.
	RequestMeta(h *fasthttp.RequestHeader) RequestMeta
	// Forward builds the header for a backend server from the caller's header.
	Forward(h *fasthttp.RequestHeader, f Forward) http1.RequestHeader
	// ResponseFields returns the fields of answers that may occur only once, beside those of the standard.
	ResponseFields() rfc9112.Fields
	// IsAnswerTo reports whether an answer belongs to the request with an id.
	IsAnswerTo(h *fasthttp.ResponseHeader, id string) bool
	// ExecutionStatus returns what an answer says about the execution of the request.
	ExecutionStatus(h *fasthttp.ResponseHeader) ExecutionStatus
	// ServerNotice reads what a backend server announces about itself in an answer.
	ServerNotice(h *fasthttp.ResponseHeader) ServerNotice
	// Answer builds the header for the caller from the header of the backend server.
	Answer(h *fasthttp.ResponseHeader) http1.ResponseHeader
}

// StoreCodec translates the items of the store.
type StoreCodec interface {
	// Decode returns the change that an item represents; ours is false for an item that does not concern this system. With an
	// error, the change is the one that applies while the item cannot be read, if there is one.
	Decode(i store.Item, lapse bool, now time.Time) (fleet.Change, bool, error)
	// Supersedes reports whether an item of a store that was restored from a copy is newer than the one known before.
	Supersedes(listed, known store.Item) bool
	// IsLeased reports whether the item of a key is removed by its lease when its writer ends.
	IsLeased(key string) bool
	// Instance returns the item with which an instance registers itself.
	Instance(instance fleet.Instance) (key string, value []byte, err error)
	// Quotas returns the item that stores the quota levels.
	Quotas(q fleet.QuotaSnapshot) (key string, value []byte, err error)
	// Crashes returns the item that stores crashes of backend servers.
	Crashes(crashes []fleet.Crash) (key string, value []byte, err error)
	// DutyKey returns the key of the record of the holder of duties, and UsageKey that of the sealed usage windows.
	DutyKey(name string) string
	UsageKey() string
	// Progress returns the item that tells operators and instances the progress of a rollout.
	Progress(service string, p fleet.Progress) (key string, value []byte, err error)
}

// RequestMeta is the caller's information on its request.
type RequestMeta struct {
	ID              string
	APIKey          string             // Key of a team; empty if none was sent.
	Deadline        time.Duration      // How long the caller waits; 0 if not given.
	PromptTokens    int                // Length of the prompt in tokens.
	MaxOutputTokens int                // Maximum length of the output in tokens.
	OutputHint      int                // Length of the output, in tokens, that the caller expects; 0 if not given.
	HasTokenCounts  bool               // PromptTokens and MaxOutputTokens were given.
	LastEventID     string             // Id of the latest event that the caller has; empty if none.
	PromptParts     []string           // Ids of the parts of the prompt that other requests may share, in their order.
	Prompt          promptcache.Prompt // All parts of the prompt with their tokens, in their order.
}

// Forward is the information that an instance adds to a request to a backend server.
type Forward struct {
	Server      *fleet.Server
	Team        string        // Empty for a request without a team.
	StripAPIKey bool          // The configuration has teams, so the caller's key is not forwarded.
	TimeLeft    time.Duration // Time until the deadline; 0 for none.
	LastEventID string        // Id of the latest event that the caller has; empty if none.
	Resumed     bool          // LastEventID replaces the one that the caller sent.
}

// ServerNotice is what a backend server announces about itself in an answer.
type ServerNotice struct {
	Leaving bool          // It ends soon and must not get further requests.
	Backoff time.Duration // How long this instance must not send it requests; 0 if not given.
	Limit   fleet.RequestLimit
	// LimitInvalid is set if the answer has a limit that cannot be read. It then says nothing about Limit.
	LimitInvalid bool
}

// ExecutionStatus is what an answer says about the execution of the request.
type ExecutionStatus int

// Execution statuses.
const (
	Executed    ExecutionStatus = iota // The backend server ran the request.
	NotExecuted                        // It refused the request and did not run it.
	WrongServer                        // Another backend server has the address now; the request was not run.
	Unsealed                           // The response is none of a backend server, for example because it has no seal.
)
