package routing

import "time"

// Kind says what may be repeated of a route's requests and how they answer.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests answer with events. They run at most once unless the
	// route is resumable.
	Stream Kind = "stream"
)

// Config is one version of what the operators want, whole.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a
	// stream, within which the answer is worth most.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that
	// is still on time.
	GapObjective time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// Split shares the requests out over services.
	Split []WeightedService
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may go on at another target behind a known event.
	Resumable bool
}

// Repeatable says that a second run of a request does no harm.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedService is one service's part of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a pool of targets that run the same software.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the most connections that one target takes from all
	// instances together.
	MaxConns int
	// Engine is set for model servers.
	Engine *Engine
	// Cache is set for a store of KV cache; it takes no requests.
	Cache *CacheStore
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the requests that one server runs at once.
	Slots int
	// MemoryTokens is the tokens that running requests and cached pieces
	// share on one server.
	MemoryTokens int
	// BytesPerToken is the KV cache's size for one token.
	BytesPerToken int
	// LinkMbps is the rate of a server's KV transfers.
	LinkMbps float64
	// MaxEventReaders is the calls for cache events that one server holds.
	MaxEventReaders int
	Models          []string
}

// CacheStore is a store that model servers save KV cache to and fetch it from.
type CacheStore struct {
	Address      string
	Domain       string
	MemoryTokens int
	LinkMbps     float64
}

// Account is a client account with its keys and its rate over the whole fleet.
type Account struct {
	Name string
	// KeyHashes are keys.Hash of the account's keys; no key is kept.
	KeyHashes []string
	// Priority ranks the account's requests and goes before the route's when
	// HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate is tokens or requests a second, Burst what may be spent at once;
	// a Rate of 0 sets no limit.
	Rate  float64
	Burst float64
	// CountTokens makes Rate and Burst count tokens, else requests.
	CountTokens bool
	// DefaultTokens is what a request counts that does not tell its tokens.
	DefaultTokens float64
	// Isolated accounts share no cached piece with any other account.
	Isolated bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}

// WeightsVersion names the newest weights of a model.
type WeightsVersion struct {
	Model   string
	Version int64
}
