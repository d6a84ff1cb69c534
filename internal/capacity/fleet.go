package capacity

// Fleet describes the size and load of a deployment.
type Fleet struct {
	Name    string
	Nodes   float64
	Regions float64
	Domains float64
	// Targets is the number of servers, Accelerators that of the accelerators in
	// them.
	Targets, Accelerators float64
	Models                float64
	Accounts              float64
	RequestsPerSecond     float64
	// GeneratedTokensPerSecond is the sum over all targets.
	GeneratedTokensPerSecond float64
	CachedBlocks             float64
	CacheEventsPerSecond     float64
	ChangesPerDay            float64
	ReplacementsPerDay       float64 // instances replaced or restarted
	FailuresPerDay           float64 // instances that fail
	// BookingFraction is the fraction of requests that aren't idempotent. It is an
	// assumption, since the requirements don't state it. The cost of claims is
	// proportional to it.
	BookingFraction float64
	// MeanPromptBytes is the mean prompt size, assumed to be 8,000 tokens of 4
	// bytes.
	MeanPromptBytes float64
}

// CurrentFleet returns the fleet of the charter operator. The rates of requests and
// cache events are those of the steady case of the experiment; changes and
// replacements are assumed.
func CurrentFleet() Fleet {
	return Fleet{
		Name: "today", Nodes: 6, Regions: 1, Domains: 3, Targets: 21, Accelerators: 21, Models: 1, Accounts: 5,
		RequestsPerSecond: 45, GeneratedTokensPerSecond: 9000, CachedBlocks: 864, CacheEventsPerSecond: 60,
		ChangesPerDay: 20, ReplacementsPerDay: 12, FailuresPerDay: 1, BookingFraction: 0.01, MeanPromptBytes: 32000,
	}
}

// RequiredFleet returns the fleet size that the users require (docs/CAPACITY.md).
func RequiredFleet() Fleet {
	return Fleet{
		Name: "target", Nodes: 2400, Regions: 4, Domains: 11, Targets: 10000, Accelerators: 80000, Models: 8, Accounts: 440,
		RequestsPerSecond: 120000, GeneratedTokensPerSecond: 31e6, CachedBlocks: 620e6, CacheEventsPerSecond: 5.1e6,
		ChangesPerDay: 49000, ReplacementsPerDay: 4600, FailuresPerDay: 220, BookingFraction: 0.01, MeanPromptBytes: 32000,
	}
}

const (
	secondsPerDay = 86400
	// firstTokenSeconds and tokenGapSeconds are the latency limits that the users
	// require.
	firstTokenSeconds = 0.62
	tokenGapSeconds   = 0.031
)

// nodeRequestsPerSecond is the request rate of one node.
func (f Fleet) nodeRequestsPerSecond() float64 { return f.RequestsPerSecond / f.Nodes }

// openStreamsPerNode is the mean number of open streams at one node. A stream stays
// open until its last token.
func (f Fleet) openStreamsPerNode() float64 {
	tokens := f.GeneratedTokensPerSecond / f.RequestsPerSecond
	return f.nodeRequestsPerSecond() * (firstTokenSeconds + tokens*tokenGapSeconds)
}

// bookingsPerSecond is the rate of bookings of the whole fleet.
func (f Fleet) bookingsPerSecond() float64 { return f.RequestsPerSecond * f.BookingFraction }

func (f Fleet) changesPerSecond() float64 { return f.ChangesPerDay / secondsPerDay }

// Budget limits the cost of all control roles on one node.
type Budget struct {
	Cores          float64 // CPU time per second, in cores
	MemoryBytes    float64
	BytesPerSecond float64 // sent and received
}

// ControlBudget returns the budget that the users require.
func ControlBudget() Budget { return Budget{Cores: 0.011, MemoryBytes: 64e6, BytesPerSecond: 25e3} }
