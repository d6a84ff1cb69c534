package experiment

import "time"

// Account is one client account of a workload.
type Account struct {
	Name string
	// Share is its part of the requests.
	Share float64
}

// Kind is one kind of request.
type Kind struct {
	Name string
	// Share is its part of the requests.
	Share float64
	// OpeningPieces are shared by all requests of an account and kind.
	OpeningPieces int
	// Documents is the number of dossiers or trip logs of one account; 0
	// for requests without one.
	Documents int
	// MinPieces and MaxPieces bound a document's size.
	MinPieces, MaxPieces int
	// GrowEvery is the mean number of requests after which a document has
	// one more piece; 0 for never.
	GrowEvery int
	// MinQuestion and MaxQuestion bound the tokens that are never shared.
	MinQuestion, MaxQuestion int
	Priority                 int
	Deadline                 time.Duration
}

// Workload is one deployment and its requests.
type Workload struct {
	Name        string
	Domains     []string
	Engines     int
	Routers     int
	LinkDelay   time.Duration // one way, between failure domains
	ClientDelay time.Duration // one way, between callers and routers
	// PrefillRate is an engine's prefill rate in tokens a second.
	PrefillRate float64
	// CachePieces is the pieces an engine holds.
	CachePieces int
	PieceTokens int
	// Rate is the requests a second of all accounts together.
	Rate     float64
	Accounts []Account
	Kinds    []Kind
	// MaxLoads is the engines that may load weights at once.
	MaxLoads int
	LoadTime time.Duration
}

// zipfExponent is the heat of documents: the n-th is asked for in proportion
// to n to the power of minus this.
const zipfExponent = 1.0

func fiveAccounts() []Account {
	return []Account{{"north", 0.34}, {"centre", 0.28}, {"south", 0.18}, {"agents", 0.12}, {"trial", 0.08}}
}

// Cantonal is the report-drafting service of the cantonal office.
func Cantonal() Workload {
	return Workload{
		Name: "cantonal", Domains: []string{"vaud-nord", "vaud-centre", "vaud-sud"},
		Engines: 12, Routers: 6,
		LinkDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		PrefillRate: 30000, CachePieces: 48, PieceTokens: 4096,
		Rate: 20, Accounts: fiveAccounts(), MaxLoads: 2, LoadTime: 800 * time.Millisecond,
		Kinds: []Kind{
			{Name: "report", Share: 0.8, OpeningPieces: 1, Documents: 80, MinPieces: 3, MaxPieces: 8, MinQuestion: 200, MaxQuestion: 1200, Deadline: 10 * time.Second},
			{Name: "question", Share: 0.2, OpeningPieces: 1, MinQuestion: 50, MaxQuestion: 400, Priority: 5, Deadline: 5 * time.Second},
		},
	}
}

// Charter is the skipper assistant of the charter operator.
func Charter() Workload {
	return Workload{
		Name: "charter", Domains: []string{"kul-a", "kul-b", "kul-c"},
		Engines: 18, Routers: 6,
		LinkDelay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		PrefillRate: 30000, CachePieces: 48, PieceTokens: 4096,
		Rate: 45, Accounts: fiveAccounts(), MaxLoads: 3, LoadTime: 800 * time.Millisecond,
		Kinds: []Kind{
			{Name: "plan", Share: 0.3, OpeningPieces: 1, Documents: 100, MinPieces: 2, MaxPieces: 9, GrowEvery: 12, MinQuestion: 200, MaxQuestion: 1500, Priority: 3, Deadline: 8 * time.Second},
			{Name: "check", Share: 0.7, OpeningPieces: 1, MinQuestion: 60, MaxQuestion: 400, Priority: 6, Deadline: 2 * time.Second},
		},
	}
}
