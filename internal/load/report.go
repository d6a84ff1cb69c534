package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin/engine"
)

const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	// maxReasons limits the failures that a report lists.
	maxReasons = 10
)

// Latency is a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// AccountReport summarizes the requests of one client account.
type AccountReport struct {
	Name string `json:"name"`
	// WithinRate is true if all requests sent were within the account's rate
	// and burst.
	WithinRate bool           `json:"within_rate"`
	Sent       int            `json:"sent"`
	OK         int            `json:"ok"`
	Outcomes   map[string]int `json:"outcomes"`
	// TokensPerSecond is the account's rate limit, or 0 if it isn't checked.
	TokensPerSecond float64 `json:"rate_tokens_per_second"`
	// OfferedTPS and ServedTPS are prompt and output tokens per second.
	OfferedTPS float64 `json:"offered_tokens_per_second"`
	ServedTPS  float64 `json:"served_tokens_per_second"`
	// WrongfulRefusals counts rate refusals of requests that were within rate
	// and burst together with everything sent before, refused or not.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// RefusalsWithRoom counts rate refusals of requests that a single token
	// bucket for the whole fleet, charged only for admitted requests, would have
	// admitted.
	RefusalsWithRoom int `json:"refusals_with_room"`
	// OverBurstTokens is the maximum number of tokens admitted beyond rate and
	// burst in any window, by scheduled arrival times.
	OverBurstTokens  float64 `json:"over_burst_tokens"`
	TimeToFirstToken Latency `json:"first_token"`
}

// Report summarizes a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	// ConnectFailures counts failed attempts to connect to an entry.
	ConnectFailures int64 `json:"passed_over"`
	// HitRate is the fraction of prompt tokens served from the prefix cache.
	HitRate float64 `json:"prefix_hit_rate"`
	// PossibleHitRate is the hit rate of a single cache of unlimited size.
	PossibleHitRate float64 `json:"possible_hit_rate"`
	// WastedRecomputation is the fraction of prompt tokens that were computed
	// although an engine had computed them before.
	WastedRecomputation float64 `json:"wasted_recomputation"`
	TimeToFirstToken    Latency `json:"first_token"`
	// WorstServedAccount is the account with the highest p99 among those within
	// their rate, or among all if none is. An account without any answer ranks
	// before all others.
	WorstServedAccount string `json:"worst_served_account"`
	// LowestShareAccount is the account, among the same ones, with the smallest
	// fraction of answered requests.
	LowestShareAccount string          `json:"lowest_share_account"`
	WrongfulRefusals   int             `json:"wrongful_refusals"`
	Accounts           []AccountReport `json:"accounts"`
	// Reasons lists the first failures and violations.
	Reasons []string `json:"reasons,omitempty"`
}

// Summarize computes the report from results in order of arrival.
func Summarize(p Profile, seed uint64, results []Result) Report {
	rep := Report{Seed: seed, Sent: len(results), Outcomes: map[string]int{}}
	all := newHistogram()
	byAccount := map[string][]Result{}
	for _, r := range results {
		rep.Outcomes[string(r.Outcome)]++
		rep.Seconds = max(rep.Seconds, r.At.Seconds())
		byAccount[r.Account] = append(byAccount[r.Account], r)
		if r.Outcome == OutcomeOK {
			recordLatency(all, r.TimeToFirstToken)
		}
		if (r.Outcome == OutcomeFailed || r.Outcome == OutcomeViolation) && len(rep.Reasons) < maxReasons {
			rep.Reasons = append(rep.Reasons, string(r.Outcome)+": "+r.Code)
		}
	}
	rep.TimeToFirstToken = newLatency(all)
	rep.HitRate, rep.PossibleHitRate, rep.WastedRecomputation = cacheMetrics(p.PieceBytes, results)
	for _, a := range p.Accounts {
		ar := summarizeAccount(a, byAccount[a.Name], rep.Seconds)
		rep.WrongfulRefusals += ar.WrongfulRefusals
		rep.Accounts = append(rep.Accounts, ar)
	}
	rep.WorstServedAccount = worstAccount(rep.Accounts, func(a AccountReport) float64 { return a.TimeToFirstToken.P99 })
	rep.LowestShareAccount = worstAccount(rep.Accounts, func(a AccountReport) float64 { return 1 - a.AnsweredShare() })
	return rep
}

// cacheMetrics returns the hit rate, the possible hit rate and the wasted
// recomputation. Hash chains differ between accounts, so an account's pieces never
// count as cacheable for another. Waste is computed over all requests rather than
// per request: of two overlapping requests either may compute a shared piece.
func cacheMetrics(pieceBytes int, results []Result) (hit, possible, wasted float64) {
	seen := map[prefix.Hash]bool{}
	var promptTokens, cachedTokens, cacheableTokens int
	for _, r := range results {
		if r.Outcome != OutcomeOK {
			continue
		}
		n := 0
		for n < len(r.Pieces) && seen[r.Pieces[n]] {
			n++
		}
		for _, h := range r.Pieces[n:] {
			seen[h] = true
		}
		promptTokens += r.Usage.PromptTokens
		cachedTokens += r.Usage.PromptTokensDetails.CachedTokens
		cacheableTokens += n * pieceBytes / engine.BytesPerToken
	}
	if promptTokens == 0 {
		return 0, 0, 0
	}
	hit, possible = float64(cachedTokens)/float64(promptTokens), float64(cacheableTokens)/float64(promptTokens)
	return hit, possible, max(0, possible-hit)
}

func summarizeAccount(a Account, results []Result, seconds float64) AccountReport {
	ar := AccountReport{Name: a.Name, WithinRate: true, Sent: len(results), Outcomes: map[string]int{}, TokensPerSecond: a.TokensPerSecond}
	hist := newHistogram()
	var offered, served int
	for _, r := range results {
		ar.Outcomes[string(r.Outcome)]++
		offered += r.Tokens
		if r.Outcome == OutcomeOK {
			ar.OK++
			served += r.Usage.TotalTokens
			recordLatency(hist, r.TimeToFirstToken)
		}
	}
	ar.TimeToFirstToken = newLatency(hist)
	if seconds > 0 {
		ar.OfferedTPS, ar.ServedTPS = float64(offered)/seconds, float64(served)/seconds
	}
	if a.TokensPerSecond > 0 {
		ar.checkRate(a, results)
	}
	return ar
}

// checkRate replays the account's requests against its rate and burst.
func (ar *AccountReport) checkRate(a Account, results []Result) {
	offeredBucket, admittedBucket := leakyBucket{rate: a.TokensPerSecond}, leakyBucket{rate: a.TokensPerSecond}
	for _, r := range results {
		tokens := float64(r.Tokens)
		withinRate := offeredBucket.add(r.At, tokens) <= a.BurstTokens
		hasRoom := admittedBucket.levelAt(r.At)+tokens <= a.BurstTokens
		ar.WithinRate = ar.WithinRate && withinRate
		if r.Outcome != OutcomeRateRefused {
			if r.Outcome != OutcomeRefused {
				ar.OverBurstTokens = max(ar.OverBurstTokens, admittedBucket.add(r.At, tokens)-a.BurstTokens)
			}
			continue
		}
		if withinRate {
			ar.WrongfulRefusals++
		}
		if hasRoom {
			ar.RefusalsWithRoom++
		}
	}
}

// AnsweredShare is the fraction of the account's requests that were answered, 1 if
// it sent none.
func (ar AccountReport) AnsweredShare() float64 {
	if ar.Sent == 0 {
		return 1
	}
	return float64(ar.OK) / float64(ar.Sent)
}

// worstAccount returns the name of the account with the highest score. Accounts
// within their rate rank before the others, and accounts without any answer before
// those with one.
func worstAccount(accounts []AccountReport, score func(AccountReport) float64) string {
	ranked := append([]AccountReport{}, accounts...)
	sort.SliceStable(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if a.WithinRate != b.WithinRate {
			return a.WithinRate
		}
		if a.neverAnswered() != b.neverAnswered() {
			return a.neverAnswered()
		}
		return score(a) > score(b)
	})
	return ranked[0].Name
}

func (ar AccountReport) neverAnswered() bool { return ar.Sent > 0 && ar.OK == 0 }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}
