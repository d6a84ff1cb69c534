package gateway

import (
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// Request is a caller's request in neutral form.
type Request struct {
	// ID is the caller's name for this attempt; targets echo it.
	ID     string
	Method string
	// URI is the path and query as they were sent; Path is for routing.
	URI  string
	Path string
	Host string
	// Header is what goes on to the target: no header of one connection and
	// none that only the router may set.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty for none. It is never logged.
	Key string
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	// Prompt is set for requests to model servers.
	Prompt *Prompt
	// LastEventID resumes a stream behind this event; empty for none.
	LastEventID string
}

// Prompt describes the prompt of a request.
type Prompt struct {
	Model string
	// Pieces are the prompt's parts in order. Requests share leading pieces;
	// the last one belongs to the request or its session.
	Pieces []Piece
	// Tokens is the size of the prompt, MaxOutput the most tokens of answer;
	// Counted says that the caller gave them.
	Tokens          int
	MaxOutputTokens int
	TokensDeclared  bool
}

// Piece is one part of a prompt.
type Piece struct {
	Hash   prefix.Hash
	Tokens int
}

// TargetParams is what the router adds to a request for one target.
type TargetParams struct {
	// Target is the incarnation that must run the request; any other at the
	// address refuses it.
	Target string
	// Account owns the key that came with the request; empty for none.
	Account string
	// Timeout is the time that the target may take.
	Timeout time.Duration
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// WeightsVersion is the version of the weights that the target must have; it
	// refuses the request otherwise. 0 for any.
	WeightsVersion int64
	// FetchFrom is the address of a target that holds more of the prompt
	// than this one, or of a store; empty for none.
	FetchFrom string
	// SaveTo is the address of the store that the target saves the prompt's
	// pieces to; empty for none.
	SaveTo string
	// CacheScope separates cached pieces: they are found only under the same
	// scope. Empty is the scope shared by all.
	CacheScope string
	// LastEventID resumes a stream behind this event; empty for none.
	LastEventID string
}

// ResponseInfo says what an answer's head proves.
type ResponseInfo struct {
	// NotRun is set when the target states that it did not run the request.
	NotRun bool
	// Signed is set when the answer bears the target's own signature. What
	// lacks it is not passed on as a success.
	Signed bool
	// WeightsVersion is the version of the weights that the answer was made on; 0
	// when the answer does not say.
	WeightsVersion int64
	// RateLimit is the requests a second that the target takes from all instances
	// together; 0 for any number.
	RateLimit float64
}

// Refusal is a final answer of the router's own.
type Refusal struct {
	Status int
	// Reason is a stable code for the caller's operators.
	Reason string
	// RetryAfter, when over 0, is when to come back.
	RetryAfter time.Duration
	// NotRun is set when no target has run or will run the request.
	NotRun bool
	// abort ends the caller's connection instead of answering: the caller has
	// left, or part of an answer is out that must not look complete.
	abort bool
}

func (r *Refusal) Error() string { return r.Reason }

// Dialect is the protocol spoken with callers and targets.
type Dialect interface {
	// Decode reads the head of a caller's request. The body is not read.
	Decode(r *http.Request) (*Request, error)
	// Encode gives the header of the request as a target gets it.
	Encode(r *Request, o TargetParams) http.Header
	// MatchesRequest says whether an answer belongs to the request.
	MatchesRequest(r *Request, resp *http.Response) bool
	// Inspect reads what an answer proves.
	Inspect(resp *http.Response) ResponseInfo
	// RelayHeader gives the header of an answer for the caller.
	RelayHeader(resp *http.Response) http.Header
	// Refuse writes a refusal.
	Refuse(w http.ResponseWriter, r *Request, refusal *Refusal)
	// ReadyPath is where the balancer asks whether the instance is ready.
	ReadyPath() string
}
