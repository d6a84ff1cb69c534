package config

import "time"

// Intent is the complete configuration in force. It is immutable: each accepted
// change produces a new Intent.
type Intent struct {
	// Revision is the config stream offset of the last accepted change. It
	// never decreases.
	Revision int64
	Accounts map[string]Account
	// Keys is indexed by the hex SHA-256 of the key.
	Keys    map[string]Key
	Models  map[string]Model
	Pools   map[string]Pool
	Targets map[string]Target
	Routes  map[string]Route
}

// Account holds the limits of a client account.
type Account struct {
	Name string
	// TokensPerSecond is the rate limit over the whole fleet. It counts prompt
	// and generated tokens.
	TokensPerSecond float64
	// BurstTokens is the number of tokens that may be spent at once in excess
	// of the rate.
	BurstTokens float64
	// Weight is the account's weight in fair queueing; default 1.
	Weight float64
	// KeyCutoff is how long an instance that reaches neither the log nor a
	// peer outside its domain keeps accepting the account's keys; default 10m,
	// at least 15s.
	KeyCutoff time.Duration
}

// Key is an API key of a client account. Only its hash is stored.
type Key struct {
	// ID is the public name of the key, used in logs and audit records.
	ID        string
	Account   string
	SHA256    string
	Withdrawn bool
}

// Model is a model and the weights version that its targets should serve.
type Model struct {
	Name    string
	Version string
	// PieceBytes is the number of prompt bytes in one piece, the unit of prefix
	// caching; default 16384.
	PieceBytes int
	// BytesPerToken is used to estimate the tokens of a prompt until the target
	// has counted them; default 4.
	BytesPerToken float64
	// DefaultMaxTokens is charged for a request without max_tokens; default
	// 512.
	DefaultMaxTokens int
}

// PoolKind determines the protocol of a pool's targets.
type PoolKind string

// The pool kinds.
const (
	KindEngine  PoolKind = "engine"
	KindService PoolKind = "service"
)

// Pool is a set of interchangeable targets.
type Pool struct {
	Name string
	Kind PoolKind
	// Model is the model of an engine pool; empty for a service pool.
	Model string
	// PrefillTokensPerSecond is the expected prefill rate of one target;
	// default 8000.
	PrefillTokensPerSecond float64
	// MaxConcurrent limits the requests in flight on one target; default 32.
	MaxConcurrent int
	// ServingFloor is the minimum number of targets that keep serving the same
	// version while others load weights; at most half of the pool's targets,
	// default 0.
	ServingFloor int
	// MaxLoads limits the targets that load weights at the same time; default 1.
	MaxLoads int
}

// Target is a back end that requests are sent to.
type Target struct {
	Name    string
	Address string
	// Domain is the failure domain of the target.
	Domain string
	Pool   string
	// ChecksFencing is set if the target refuses orders with a stale fencing
	// token; default no.
	ChecksFencing bool
}

// Route maps a request path to a pool.
type Route struct {
	Name string
	// Path must equal the path of the request.
	Path string
	Pool string
	// Idempotent requests may be retried after a byte was sent to a target;
	// default no.
	Idempotent bool
	// Priority orders the requests of one account, higher first; 0 to 9,
	// default 5.
	Priority int
	// Deadline limits the time to the first byte of the response; default 30s.
	Deadline time.Duration
	// CostTokens is charged for each request to a service pool; default 1.
	CostTokens float64
	// RunWhenLogDown allows non-idempotent requests with an idempotency key to
	// run without a claim while the log is unavailable. By default they are
	// refused.
	RunWhenLogDown bool
}
