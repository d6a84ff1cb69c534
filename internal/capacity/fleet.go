package capacity

// Fleet is a size that the system has to carry.
type Fleet struct {
	Name    string
	Nodes   float64
	Regions float64
	Domains float64
	// Targets are servers; Accelerators stand in them.
	Targets, Accelerators float64
	Models                float64
	Accounts              float64
	RequestsPerSecond     float64
	// GeneratedTokens a second, over all targets.
	GeneratedTokens float64
	CachedBlocks    float64
	CacheEvents     float64 // a second
	ChangesPerDay   float64
	Replacements    float64 // instances replaced or restarted a day
	Failures        float64 // instances that fail a day
	// Bookings is the part of requests that are not idempotent. Neither
	// letter nor brief gives it; costs of claims grow in proportion.
	Bookings float64
	// PromptBytes is the mean prompt; assumed, 8,000 tokens of 4 bytes.
	PromptBytes float64
}

// Today is the charter operator's size. Rates of requests and cache events are
// those of the experiment's steady case; changes and replacements are assumed.
func Today() Fleet {
	return Fleet{
		Name: "today", Nodes: 6, Regions: 1, Domains: 3, Targets: 21, Accelerators: 21, Models: 1, Accounts: 5,
		RequestsPerSecond: 45, GeneratedTokens: 9000, CachedBlocks: 864, CacheEvents: 60,
		ChangesPerDay: 20, Replacements: 12, Failures: 1, Bookings: 0.01, PromptBytes: 32000,
	}
}

// Target is the size of letter 1.
func Target() Fleet {
	return Fleet{
		Name: "target", Nodes: 2400, Regions: 4, Domains: 11, Targets: 10000, Accelerators: 80000, Models: 8, Accounts: 440,
		RequestsPerSecond: 120000, GeneratedTokens: 31e6, CachedBlocks: 620e6, CacheEvents: 5.1e6,
		ChangesPerDay: 49000, Replacements: 4600, Failures: 220, Bookings: 0.01, PromptBytes: 32000,
	}
}

const (
	secondsPerDay = 86400
	// firstToken and tokenGap are the seconds that letter 1 allows.
	firstToken = 0.62
	tokenGap   = 0.031
)

// requests a second at one node.
func (f Fleet) requests() float64 { return f.RequestsPerSecond / f.Nodes }

// openStreams at one node: a request stays open until its last token.
func (f Fleet) openStreams() float64 {
	tokens := f.GeneratedTokens / f.RequestsPerSecond
	return f.requests() * (firstToken + tokens*tokenGap)
}

// bookings a second over the fleet.
func (f Fleet) bookings() float64 { return f.RequestsPerSecond * f.Bookings }

func (f Fleet) changes() float64 { return f.ChangesPerDay / secondsPerDay }

// Budget is what a node may spend on control.
type Budget struct {
	Core   float64 // part of a core
	Memory float64 // bytes
	Rate   float64 // bytes a second
}

// ControlBudget is that of letter 1.
func ControlBudget() Budget { return Budget{Core: 0.011, Memory: 64e6, Rate: 25e3} }
