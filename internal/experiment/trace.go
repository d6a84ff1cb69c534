package experiment

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// contentBytesPerPiece is the size of a piece's content in a trace. One 64-bit number
// represents the text of a piece, so that prefix.Chain can hash it.
const contentBytesPerPiece = 8

// request is one request of a trace. Its deadline is relative to its arrival.
type request struct {
	arrival  time.Duration
	account  int
	priority int
	deadline time.Duration
	tokens   int
	router   int
	content  []byte
	chains   map[string][]prefix.Hash
}

// chain returns the hash chain of the prompt for a weights version.
func (r *request) chain(w *Workload, version string) []prefix.Hash {
	if hashes, ok := r.chains[version]; ok {
		return hashes
	}
	scope := prefix.Scope{Account: w.Accounts[r.account].Name, Model: "m", Version: version}
	hashes := prefix.Chain(nil, scope.Seed(), r.content, contentBytesPerPiece)
	r.chains[version] = hashes
	return hashes
}

// document is a dossier or trip log that requests include in their prompt.
type document struct {
	id           uint64
	pieces       int
	requestCount int
}

// generator draws the requests of a trace. Its documents are indexed by account and
// kind, and the cumulative Zipf weights by the number of documents.
type generator struct {
	workload       *Workload
	testCase       *Case
	rng            *rand.Rand
	documents      map[[2]int][]*document
	cumulativeZipf map[int][]float64
	lastDocumentID uint64
}

// generateTrace draws the requests of a case. The same seed gives the same trace.
func generateTrace(w *Workload, c *Case, seed uint64) []*request {
	g := &generator{workload: w, testCase: c, rng: rand.New(rand.NewPCG(seed, 1)), documents: map[[2]int][]*document{}, cumulativeZipf: map[int][]float64{}}
	var requests []*request
	shifted := false
	for a := range w.Accounts {
		// Each account has its own random source, so that a case that changes the
		// requests of one account does not change those of the others.
		g.rng = rand.New(rand.NewPCG(seed, uint64(a)+100))
		shifted = false
		for at := g.nextInterarrival(a, 0); at < c.Duration; at += g.nextInterarrival(a, at) {
			if c.PopularityShiftAt > 0 && at >= c.PopularityShiftAt && !shifted {
				g.reversePopularity(a)
				shifted = true
			}
			requests = append(requests, g.drawRequest(a, at))
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].arrival < requests[j].arrival })
	return requests
}

// nextInterarrival draws the time until an account's next request. Arrivals are a
// Poisson process.
func (g *generator) nextInterarrival(account int, at time.Duration) time.Duration {
	rate := g.workload.RequestRate * g.workload.Accounts[account].Share
	if account == noisyAccount && at >= g.testCase.NoisyFrom && g.testCase.NoisyFactor > 0 {
		rate *= g.testCase.NoisyFactor
	}
	if account == noisyAccount && g.testCase.ExcludeNoisy {
		return g.testCase.Duration
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) drawRequest(account int, at time.Duration) *request {
	k, kind := g.drawKind()
	req := &request{
		arrival: at, account: account, priority: kind.Priority, deadline: kind.Deadline,
		router: g.rng.IntN(g.workload.Routers), chains: map[string][]prefix.Hash{},
	}
	opening := uint64(account)<<8 | uint64(k) | 1<<40
	for i := range kind.OpeningPieces {
		req.content = binary.LittleEndian.AppendUint64(req.content, opening+uint64(i)<<20)
	}
	if kind.Documents > 0 {
		d := g.drawDocument(account, k, kind)
		for i := range d.pieces {
			req.content = binary.LittleEndian.AppendUint64(req.content, d.id<<8|uint64(i))
		}
		d.requestCount++
		if kind.GrowEvery > 0 && g.rng.IntN(kind.GrowEvery) == 0 && d.pieces < 2*kind.MaxPieces {
			d.pieces++
		}
	}
	req.tokens = len(req.content)/contentBytesPerPiece*g.workload.PieceTokens + kind.MinQuestion + g.rng.IntN(kind.MaxQuestion-kind.MinQuestion)
	return req
}

func (g *generator) drawKind() (int, *RequestKind) {
	x := g.rng.Float64()
	for k := range g.workload.Kinds {
		if x -= g.workload.Kinds[k].Share; x < 0 {
			return k, &g.workload.Kinds[k]
		}
	}
	return 0, &g.workload.Kinds[0]
}

// drawDocument draws one of the account's documents by popularity.
func (g *generator) drawDocument(account, k int, kind *RequestKind) *document {
	docs := g.documents[[2]int{account, k}]
	if docs == nil {
		docs = g.newDocuments(kind)
		g.documents[[2]int{account, k}] = docs
	}
	cumulative := g.cumulativeZipf[kind.Documents]
	if cumulative == nil {
		sum := 0.0
		for n := range kind.Documents {
			sum += math.Pow(float64(n+1), -zipfExponent)
			cumulative = append(cumulative, sum)
		}
		g.cumulativeZipf[kind.Documents] = cumulative
	}
	return docs[sort.SearchFloat64s(cumulative, g.rng.Float64()*cumulative[len(cumulative)-1])]
}

func (g *generator) newDocuments(kind *RequestKind) []*document {
	docs := make([]*document, kind.Documents)
	for i := range docs {
		g.lastDocumentID++
		docs[i] = &document{id: g.lastDocumentID, pieces: kind.MinPieces + g.rng.IntN(kind.MaxPieces-kind.MinPieces+1)}
	}
	return docs
}

// reversePopularity reverses the order of the account's documents by popularity.
func (g *generator) reversePopularity(account int) {
	for key, docs := range g.documents {
		if key[0] != account {
			continue
		}
		for i, j := 0, len(docs)-1; i < j; i, j = i+1, j-1 {
			docs[i], docs[j] = docs[j], docs[i]
		}
	}
}
