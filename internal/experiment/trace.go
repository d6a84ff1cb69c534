package experiment

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// contentBytes is the size of a piece's content in a trace: one number stands
// for the text, so that the product's own hash chain can be run over it.
const contentBytes = 8

// call is one request of a trace.
type call struct {
	at       time.Duration
	account  int
	priority int
	deadline time.Duration
	tokens   int
	router   int
	content  []byte
	chains   map[string][]prefix.Hash
}

// chain is the hash chain of the call's prompt on a weights version.
func (c *call) chain(w *Workload, version string) []prefix.Hash {
	if got, ok := c.chains[version]; ok {
		return got
	}
	scope := prefix.Scope{Account: w.Accounts[c.account].Name, Model: "m", Version: version}
	got := prefix.Chain(nil, scope.Seed(), c.content, contentBytes)
	c.chains[version] = got
	return got
}

// document is one dossier or trip log.
type document struct {
	id     uint64
	pieces int
	asked  int
}

// generator draws the requests of one trace.
type generator struct {
	w    *Workload
	c    *Case
	rng  *rand.Rand
	docs map[[2]int][]*document
	zipf map[int][]float64
	next uint64
}

// makeTrace draws all requests up to end. The same seed gives the same trace.
func makeTrace(w *Workload, c *Case, seed uint64) []*call {
	g := &generator{w: w, c: c, rng: rand.New(rand.NewPCG(seed, 1)), docs: map[[2]int][]*document{}, zipf: map[int][]float64{}}
	var calls []*call
	shifted := false
	for a := range w.Accounts {
		// Each account has its own Poisson arrivals: what one does leaves the
		// others' requests unchanged between cases.
		g.rng = rand.New(rand.NewPCG(seed, uint64(a)+100))
		shifted = false
		for at := g.gap(a, 0); at < c.Length; at += g.gap(a, at) {
			if c.ShiftAt > 0 && at >= c.ShiftAt && !shifted {
				g.shift(a)
				shifted = true
			}
			calls = append(calls, g.draw(a, at))
		}
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].at < calls[j].at })
	return calls
}

// gap draws the time to an account's next request.
func (g *generator) gap(account int, at time.Duration) time.Duration {
	rate := g.w.Rate * g.w.Accounts[account].Share
	if account == noisyAccount && at >= g.c.NoisyAt && g.c.NoisyFactor > 0 {
		rate *= g.c.NoisyFactor
	}
	if account == noisyAccount && g.c.NoisyAbsent {
		return g.c.Length
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) draw(account int, at time.Duration) *call {
	k, kind := g.kind()
	c := &call{
		at: at, account: account, priority: kind.Priority, deadline: kind.Deadline,
		router: g.rng.IntN(g.w.Routers), chains: map[string][]prefix.Hash{},
	}
	opening := uint64(account)<<8 | uint64(k) | 1<<40
	for i := range kind.OpeningPieces {
		c.content = binary.LittleEndian.AppendUint64(c.content, opening+uint64(i)<<20)
	}
	if kind.Documents > 0 {
		d := g.document(account, k, kind)
		for i := range d.pieces {
			c.content = binary.LittleEndian.AppendUint64(c.content, d.id<<8|uint64(i))
		}
		d.asked++
		if kind.GrowEvery > 0 && g.rng.IntN(kind.GrowEvery) == 0 && d.pieces < 2*kind.MaxPieces {
			d.pieces++
		}
	}
	c.tokens = len(c.content)/contentBytes*g.w.PieceTokens + kind.MinQuestion + g.rng.IntN(kind.MaxQuestion-kind.MinQuestion)
	return c
}

func (g *generator) kind() (int, *Kind) {
	x := g.rng.Float64()
	for k := range g.w.Kinds {
		if x -= g.w.Kinds[k].Share; x < 0 {
			return k, &g.w.Kinds[k]
		}
	}
	return 0, &g.w.Kinds[0]
}

// document draws one of the account's documents by their heat.
func (g *generator) document(account, k int, kind *Kind) *document {
	docs := g.docs[[2]int{account, k}]
	if docs == nil {
		docs = g.newDocuments(kind)
		g.docs[[2]int{account, k}] = docs
	}
	cum := g.zipf[kind.Documents]
	if cum == nil {
		sum := 0.0
		for n := range kind.Documents {
			sum += math.Pow(float64(n+1), -zipfExponent)
			cum = append(cum, sum)
		}
		g.zipf[kind.Documents] = cum
	}
	return docs[sort.SearchFloat64s(cum, g.rng.Float64()*cum[len(cum)-1])]
}

func (g *generator) newDocuments(kind *Kind) []*document {
	docs := make([]*document, kind.Documents)
	for i := range docs {
		g.next++
		docs[i] = &document{id: g.next, pieces: kind.MinPieces + g.rng.IntN(kind.MaxPieces-kind.MinPieces+1)}
	}
	return docs
}

// shift makes other documents hot: the heat order is turned around.
func (g *generator) shift(account int) {
	for key, docs := range g.docs {
		if key[0] != account {
			continue
		}
		for i, j := 0, len(docs)-1; i < j; i, j = i+1, j-1 {
			docs[i], docs[j] = docs[j], docs[i]
		}
	}
}
