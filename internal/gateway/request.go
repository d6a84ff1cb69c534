package gateway

import (
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/targetlimit"
)

// Request is a caller's request, independent of the protocol.
type Request struct {
	// ID is the caller's ID for this attempt at the request. Targets echo it.
	ID     string
	Method string
	// URI is the path and query as received. Path is used for routing.
	URI  string
	Path string
	Host string
	// Header is what is forwarded to the target. It contains no hop-by-hop headers and none
	// that only the gateway may set.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty for none. It must never be logged.
	Key string
	// Timeout is how long the caller waits; 0 if the caller does not say.
	Timeout time.Duration
	// Prompt is set for requests to model servers.
	Prompt *Prompt
	// LastEventID resumes a stream after this event; empty for none.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that
	// this request takes up again; empty for none.
	Resumes string
}

// Prompt describes the prompt of a request.
type Prompt struct {
	Model string
	// Pieces are the parts of the prompt in order. Requests share leading pieces; the last
	// one is unique to the request or its session.
	Pieces []Piece
	// Tokens is the size of the prompt and MaxOutputTokens the maximum size of the answer.
	// TokensDeclared is set if the caller stated them.
	Tokens          int
	MaxOutputTokens int
	TokensDeclared  bool
}

// Piece is one part of a prompt.
type Piece struct {
	Hash   prefix.Hash
	Tokens int
}

// TargetParams is what the gateway adds to a request for a target.
type TargetParams struct {
	// Target is the ID of the target that must run the request. Any other target at the
	// address refuses it.
	Target string
	// Account is the owner of the request's key; empty for none.
	Account string
	// Timeout is the time that the target may take.
	Timeout time.Duration
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// WeightsVersion is the weights version that the target must have; a target with
	// another version refuses the request. 0 for any.
	WeightsVersion int64
	// FetchFrom is the address of a target, or of a store, that has more of the prompt
	// cached; empty for none.
	FetchFrom string
	// SaveTo is the address of the store to which the target saves the prompt's pieces;
	// empty for none.
	SaveTo string
	// CacheScope separates cached pieces, which are found only under the scope that they
	// were cached under. Empty is the scope shared by all.
	CacheScope string
	// LastEventID resumes a stream after this event; empty for none.
	LastEventID string
	// ContinueFrom is the address of a target and the handle of a copied run, separated by a
	// slash: the request goes on with that run. Empty for none.
	ContinueFrom string
}

// ResponseInfo is what the head of a target's response states.
type ResponseInfo struct {
	// NotRun is set when the target states that it did not run the request.
	NotRun bool
	// Signed is set if the response carries the target's signature. Other responses are not
	// relayed as successes.
	Signed bool
	// WeightsVersion is the weights version that the response was produced with; 0 if the
	// response does not say.
	WeightsVersion int64
	// Leaving is set if the target announces that it leaves: it wants no further requests.
	Leaving bool
	// Pause is the time for which a target that refused the request wants no more of them from
	// this instance; 0 if it does not say.
	Pause time.Duration
	// Limit is what the target accepts from all instances together.
	Limit targetlimit.Limit
}

// Refusal is a final response by the gateway itself.
type Refusal struct {
	Status int
	// Reason is a stable code for the caller's operators.
	Reason string
	// RetryAfter, if positive, is when to try again.
	RetryAfter time.Duration
	// NotRun is set when no target has run or will run the request.
	NotRun bool
	// abort closes the caller's connection instead of sending a response: the caller has
	// disconnected, or a part of a response has been sent that must not look complete.
	abort bool
}

func (r *Refusal) Error() string { return r.Reason }

// Dialect is the protocol spoken with callers and targets.
type Dialect interface {
	// Decode reads the head of a caller's request. It does not read the body.
	Decode(r *http.Request) (*Request, error)
	// Encode returns the header of the request as sent to a target.
	Encode(r *Request, params TargetParams) http.Header
	// MatchesRequest reports whether a response belongs to the request.
	MatchesRequest(r *Request, resp *http.Response) bool
	// Inspect reads what the head of a response states.
	Inspect(resp *http.Response) ResponseInfo
	// RelayHeader returns the header of the response to the caller.
	RelayHeader(resp *http.Response) http.Header
	// Refuse writes a refusal.
	Refuse(w http.ResponseWriter, r *Request, refusal *Refusal)
	// ReadyPath is the path on which the load balancer checks whether the instance is
	// ready.
	ReadyPath() string
}
