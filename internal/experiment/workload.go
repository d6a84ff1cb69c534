package experiment

import "time"

// Account is a client account of a workload.
type Account struct {
	Name string
	// Share is the fraction of all requests that the account sends.
	Share float64
}

// RequestKind is a kind of request, such as a report or a question.
type RequestKind struct {
	Name string
	// Share is the fraction of the requests that are of this kind.
	Share float64
	// OpeningPieces is the number of leading pieces that all requests of an
	// account and kind share.
	OpeningPieces int
	// Documents is the number of dossiers or trip logs of each account; 0 if
	// the requests include none.
	Documents int
	// MinPieces and MaxPieces limit the initial size of a document.
	MinPieces, MaxPieces int
	// GrowEvery is the mean number of requests after which a document grows by
	// one piece, up to 2 * MaxPieces; 0 means never.
	GrowEvery int
	// MinQuestion and MaxQuestion limit the number of tokens that are unique to
	// a request.
	MinQuestion, MaxQuestion int
	Priority                 int
	Deadline                 time.Duration
}

// Workload describes a deployment and the requests that it receives.
type Workload struct {
	Name        string
	Domains     []string
	Engines     int
	Routers     int
	LinkDelay   time.Duration // one way, between failure domains
	ClientDelay time.Duration // one way, between callers and routers
	// PrefillRate is the prefill rate of an engine in tokens per second.
	PrefillRate float64
	// CachePieces is the cache capacity of an engine in pieces.
	CachePieces int
	PieceTokens int
	// RequestRate is the number of requests per second of all accounts together.
	RequestRate float64
	Accounts    []Account
	Kinds       []RequestKind
	// MaxConcurrentLoads is the number of engines that load weights at the same
	// time during a rollout.
	MaxConcurrentLoads int
	WeightsLoadTime    time.Duration
}

// zipfExponent is the exponent of the Zipf distribution of document popularity: the
// n-th most popular document is requested in proportion to n^-zipfExponent.
const zipfExponent = 1.0

func defaultAccounts() []Account {
	return []Account{{"north", 0.34}, {"centre", 0.28}, {"south", 0.18}, {"agents", 0.12}, {"trial", 0.08}}
}

// Cantonal returns the workload of a cantonal office's report-drafting service.
func Cantonal() Workload {
	return Workload{
		Name: "cantonal", Domains: []string{"vaud-nord", "vaud-centre", "vaud-sud"},
		Engines: 12, Routers: 6,
		LinkDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		PrefillRate: 30000, CachePieces: 48, PieceTokens: 4096,
		RequestRate: 20, Accounts: defaultAccounts(), MaxConcurrentLoads: 2, WeightsLoadTime: 800 * time.Millisecond,
		Kinds: []RequestKind{
			{Name: "report", Share: 0.8, OpeningPieces: 1, Documents: 80, MinPieces: 3, MaxPieces: 8, MinQuestion: 200, MaxQuestion: 1200, Deadline: 10 * time.Second},
			{Name: "question", Share: 0.2, OpeningPieces: 1, MinQuestion: 50, MaxQuestion: 400, Priority: 5, Deadline: 5 * time.Second},
		},
	}
}

// Charter returns the workload of a charter operator's assistant for skippers.
func Charter() Workload {
	return Workload{
		Name: "charter", Domains: []string{"kul-a", "kul-b", "kul-c"},
		Engines: 18, Routers: 6,
		LinkDelay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		PrefillRate: 30000, CachePieces: 48, PieceTokens: 4096,
		RequestRate: 45, Accounts: defaultAccounts(), MaxConcurrentLoads: 3, WeightsLoadTime: 800 * time.Millisecond,
		Kinds: []RequestKind{
			{Name: "plan", Share: 0.3, OpeningPieces: 1, Documents: 100, MinPieces: 2, MaxPieces: 9, GrowEvery: 12, MinQuestion: 200, MaxQuestion: 1500, Priority: 3, Deadline: 8 * time.Second},
			{Name: "check", Share: 0.7, OpeningPieces: 1, MinQuestion: 60, MaxQuestion: 400, Priority: 6, Deadline: 2 * time.Second},
		},
	}
}
