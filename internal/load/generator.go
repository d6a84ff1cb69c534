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
	// minPieceBytes leaves room for a message's role and line ends.
	minPieceBytes = 64
)

// Arrival is one request and its scheduled time.
type Arrival struct {
	// Index counts from 0. It is part of the question, so no two prompts are equal.
	Index int
	// At is the time since the start of the run.
	At      time.Duration
	Account Account
	Request engine.Request
}

// Generator produces the arrivals of a run. They depend only on the profile and
// the seed.
type Generator struct {
	profile     Profile
	seed        uint64
	rng         *rand.Rand
	zipf        *rand.Zipf
	totalWeight float64
	nextIndex   int
	now         time.Duration
	// texts caches openings and dossiers by name.
	texts map[string]string
}

// NewGenerator returns a generator for a valid profile.
func NewGenerator(p Profile, seed uint64) *Generator {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := &Generator{profile: p, seed: seed, rng: rng, texts: map[string]string{}}
	g.zipf = rand.NewZipf(rng, p.Zipf, 1, uint64(p.Dossiers-1))
	for _, a := range p.Accounts {
		g.totalWeight += a.Weight
	}
	return g
}

// Next returns the next arrival. Times between arrivals are exponentially
// distributed.
func (g *Generator) Next() Arrival {
	g.now += time.Duration(g.rng.ExpFloat64() / g.profile.RequestsPerSecond * float64(time.Second))
	account := g.pickAccount()
	a := Arrival{Index: g.nextIndex, At: g.now, Account: account, Request: g.request(account)}
	g.nextIndex++
	return a
}

func (g *Generator) pickAccount() Account {
	x := g.rng.Float64() * g.totalWeight
	for _, a := range g.profile.Accounts {
		if x -= a.Weight; x < 0 {
			return a
		}
	}
	return g.profile.Accounts[len(g.profile.Accounts)-1]
}

// request builds a prompt from the account's opening, one of its dossiers and a
// unique question. Opening and dossier each fill whole cache pieces, so requests
// with the same dossier share that prefix.
func (g *Generator) request(a Account) engine.Request {
	p := g.profile
	dossier := g.pickDossier()
	pieces := 1 + dossier%p.DossierPieces
	opening := g.cachedText("opening "+a.Name, p.OpeningPieces*p.PieceBytes-len(systemRole)-2)
	body := g.cachedText(fmt.Sprintf("dossier %s %d", a.Name, dossier), pieces*p.PieceBytes-len(userRole)-1)
	question := g.generateText(fmt.Sprintf("question %d", g.nextIndex), p.QuestionBytes)
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

// pickDossier draws from a Zipf distribution. After each shift another dossier is
// the most popular one.
func (g *Generator) pickDossier() int {
	n := int(g.zipf.Uint64())
	if g.profile.ShiftEvery > 0 {
		n += int(g.now/g.profile.ShiftEvery) * (g.profile.Dossiers/2 + 1)
	}
	return n % g.profile.Dossiers
}

// cachedText returns the generated text of a name, from the cache if it is there.
func (g *Generator) cachedText(name string, bytes int) string {
	if t, ok := g.texts[name]; ok {
		return t
	}
	t := g.generateText(name, bytes)
	g.texts[name] = t
	return t
}

// generateText returns a text of the given length that starts with its name. Texts
// of different names differ.
func (g *Generator) generateText(name string, bytes int) string {
	words := engine.NewTextGenerator(fmt.Appendf(nil, "%d %s", g.seed, name))
	var sb strings.Builder
	sb.WriteString(name)
	for i := 0; sb.Len() < bytes; i++ {
		sb.WriteString(words.TokenText(i))
	}
	return sb.String()[:bytes]
}
