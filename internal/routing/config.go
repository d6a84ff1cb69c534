package routing

import "time"

// Kind determines whether a route's requests may be repeated and how they are answered.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered with a stream of events. They run at most once
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Config is one complete version of the configuration set by the operators. Instances
// exchange its parts under the field names of the msgpack encoding.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	// KeysRequired is set if operators have listed accounts, even none: only keys of listed
	// accounts are accepted then. Without a list, requests need no key.
	KeysRequired bool
	Limits       Limits
}

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the time within which the answer, or the first event of a
	// stream, should arrive. A later answer is worth less.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that is still
	// on time.
	GapObjective time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// Split distributes the requests over services by weight.
	Split []WeightedService
	// MaxAttempts is the maximum number of targets to which a request may be sent.
	MaxAttempts int
	// Anonymous routes accept requests without an API key.
	Anonymous bool
	// Resumable streams may continue at another target after a known event.
	Resumable bool
}

// Repeatable reports whether a request may safely run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a pool of targets that run the same software.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections to one target, over all instances.
	MaxConns int
	// Engine is set for model servers.
	Engine *Engine
	// Cache is set for a KV cache store, which serves no requests.
	Cache *CacheStore
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that one server runs concurrently.
	Slots int
	// MemoryTokens is the capacity in tokens that running requests and cached pieces
	// share on one server.
	MemoryTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int
	// LinkMbps is the bandwidth of one server for KV transfers.
	LinkMbps float64
	// MaxEventReaders is the maximum number of concurrent cache event requests that one
	// server accepts.
	MaxEventReaders int
	Models          []string
	// MovesRuns is set if the memory of a running request can be moved to another server.
	MovesRuns bool
	// TokensPerEvent is the number of output tokens in one event of a stream; 0 if unknown.
	TokensPerEvent int
}

// CacheStore is a store to which model servers save KV cache and from which they fetch
// it.
type CacheStore struct {
	Address      string
	Domain       string
	MemoryTokens int
	LinkMbps     float64
}

// Account is a client account with its API keys and its rate limit over all instances.
type Account struct {
	Name string
	// KeyHashes has the keys.Hash of each of the account's keys; the keys themselves are
	// not stored.
	KeyHashes []string
	// Priority ranks the account's requests and overrides the route's priority if
	// HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate is the number of tokens or requests per second, Burst the number that may be
	// used at once; a Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// If CountTokens is set, Rate and Burst count tokens, otherwise requests.
	CountTokens bool
	// DefaultTokens is the number of tokens charged for a request that does not state
	// its own.
	DefaultTokens float64
	// Isolated accounts share no cached pieces with other accounts.
	Isolated bool
}

// Limits restrict the size of requests and the time to send them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}

// WeightsVersion is the newest weights version of a model.
type WeightsVersion struct {
	Model   string
	Version int64
}
