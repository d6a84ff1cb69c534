package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mastictray/mastictray/internal/standin/engine"
)

const (
	systemRole = "system"
	userRole   = "user"
	// minPieceBytes leaves room for a role and its line ends.
	minPieceBytes = 64
)

// Arrival is one request and when it is due.
type Arrival struct {
	// Index counts from 0 and makes the question unlike all others.
	Index int
	// At is the time since the start of the run.
	At      time.Duration
	Account Account
	Request engine.Request
}

// Generator makes the same arrivals for the same profile and seed.
type Generator struct {
	profile Profile
	seed    uint64
	rng     *rand.Rand
	zipf    *rand.Zipf
	times   float64
	next    int
	at      time.Duration
	// filler caches the generated texts by their name.
	filler map[string]string
}

// NewGenerator returns a generator for a valid profile.
func NewGenerator(p Profile, seed uint64) *Generator {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := &Generator{profile: p, seed: seed, rng: rng, filler: map[string]string{}}
	g.zipf = rand.NewZipf(rng, p.Zipf, 1, uint64(p.Dossiers-1))
	for _, a := range p.Accounts {
		g.times += a.Times
	}
	return g
}

// Next is the next arrival; times between arrivals are exponential.
func (g *Generator) Next() Arrival {
	g.at += time.Duration(g.rng.ExpFloat64() / g.profile.RequestsPerSecond * float64(time.Second))
	account := g.pickAccount()
	a := Arrival{Index: g.next, At: g.at, Account: account, Request: g.request(account)}
	g.next++
	return a
}

func (g *Generator) pickAccount() Account {
	x := g.rng.Float64() * g.times
	for _, a := range g.profile.Accounts {
		if x -= a.Times; x < 0 {
			return a
		}
	}
	return g.profile.Accounts[len(g.profile.Accounts)-1]
}

// request nests a question in a dossier in the account's opening, each level
// filling whole pieces.
func (g *Generator) request(a Account) engine.Request {
	p := g.profile
	dossier := g.pickDossier()
	pieces := 1 + dossier%p.DossierPieces
	opening := g.text("opening "+a.Name, p.OpeningPieces*p.PieceBytes-len(systemRole)-2)
	body := g.text(fmt.Sprintf("dossier %s %d", a.Name, dossier), pieces*p.PieceBytes-len(userRole)-1)
	question := g.fill(fmt.Sprintf("question %d", g.next), p.QuestionBytes)
	return engine.Request{
		Model:     p.Model,
		MaxTokens: p.MaxTokens,
		Stream:    true,
		Messages: []engine.Message{
			{Role: systemRole, Content: opening},
			{Role: userRole, Content: body + question},
		},
	}
}

// pickDossier draws by heat; the hottest is another one after each shift.
func (g *Generator) pickDossier() int {
	n := int(g.zipf.Uint64())
	if g.profile.ShiftEvery > 0 {
		n += int(g.at/g.profile.ShiftEvery) * (g.profile.Dossiers/2 + 1)
	}
	return n % g.profile.Dossiers
}

// text is fill, kept for the next use.
func (g *Generator) text(name string, bytes int) string {
	if t, ok := g.filler[name]; ok {
		return t
	}
	t := g.fill(name, bytes)
	g.filler[name] = t
	return t
}

// fill makes a text of a length that starts with its name and is unlike those
// of other names.
func (g *Generator) fill(name string, bytes int) string {
	words := engine.NewTextGenerator(fmt.Appendf(nil, "%d %s", g.seed, name))
	var sb strings.Builder
	sb.WriteString(name)
	for i := 0; sb.Len() < bytes; i++ {
		sb.WriteString(words.TokenText(i))
	}
	return sb.String()[:bytes]
}
