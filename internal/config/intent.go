package config

import "time"

// Intent is the whole configuration in force, as typed values. It is never
// changed in place: each accepted change makes a new one.
type Intent struct {
	// Revision is the offset of the last accepted change in the config
	// stream; it only goes up.
	Revision int64
	Accounts map[string]Account
	// Keys by the hex SHA-256 of the key.
	Keys    map[string]Key
	Models  map[string]Model
	Pools   map[string]Pool
	Targets map[string]Target
	Routes  map[string]Route
}

// Account is a client account.
type Account struct {
	Name string
	// TokensPerSecond is the rate over the whole fleet: prompt tokens plus
	// generated tokens, per second.
	TokensPerSecond float64
	// BurstTokens is what may be spent at once above the rate.
	BurstTokens float64
	// Weight is the account's part in fair queueing; default 1.
	Weight float64
	// KeyCutoff is how long keys go on working on an instance that reaches
	// neither the log nor a peer outside its domain; default 10m, at least
	// 15s.
	KeyCutoff time.Duration
}

// Key is one caller key of a client account. Only its hash is kept.
type Key struct {
	// ID is the public name used in logs and audit records.
	ID        string
	Account   string
	SHA256    string
	Withdrawn bool
}

// Model is a model with the weights version that targets should serve.
type Model struct {
	Name    string
	Version string
	// PieceBytes is the prompt bytes in one cached piece; default 16384.
	PieceBytes int
	// BytesPerToken is the estimate used to charge a prompt before the
	// target has counted it; default 4.
	BytesPerToken float64
	// DefaultMaxTokens is charged for a request that sets no max_tokens;
	// default 512.
	DefaultMaxTokens int
}

// PoolKind says how a pool's targets are spoken to.
type PoolKind string

// The kinds of pool.
const (
	KindEngine  PoolKind = "engine"
	KindService PoolKind = "service"
)

// Pool is a set of targets that serve the same thing.
type Pool struct {
	Name string
	Kind PoolKind
	// Model is served by an engine pool; empty for a service pool.
	Model string
	// PrefillTokensPerSecond is one target's expected prefill rate; default
	// 8000.
	PrefillTokensPerSecond float64
	// MaxConcurrent is how many requests one target may hold at once;
	// default 32.
	MaxConcurrent int
	// ServingFloor is the least number of targets that must keep serving
	// one version while weights are loaded; at most half of the pool's
	// targets, default 0.
	ServingFloor int
	// MaxLoads is the most targets that may load weights at once; default 1.
	MaxLoads int
}

// Target is one back end.
type Target struct {
	Name    string
	Address string
	// Domain is the failure domain the target stands in.
	Domain string
	Pool   string
	// ChecksFencing says that the target refuses orders with an old
	// fencing token; default no.
	ChecksFencing bool
}

// Route maps a request path to a pool.
type Route struct {
	Name string
	// Path is the exact path of the callers' requests.
	Path string
	Pool string
	// Idempotent requests may be tried again after a byte was sent;
	// default no.
	Idempotent bool
	// Priority orders requests inside an account; higher first, 0 to 9,
	// default 5.
	Priority int
	// Deadline bounds the time to the first byte of the answer; default 30s.
	Deadline time.Duration
	// CostTokens is charged for a request of a service pool; default 1.
	CostTokens float64
	// RunWhenLogDown lets keyed non-idempotent requests run without a
	// claim while the log is down. Default no: they are refused, not run.
	RunWhenLogDown bool
}
