package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin/engine"
)

const (
	maxLatency  = 10 * time.Minute
	significant = 3
	// reasonsKept is how many failures a report spells out.
	reasonsKept = 10
)

// Latency is a spread of times in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// AccountReport is what one client account got.
type AccountReport struct {
	Name string `json:"name"`
	// WithinRate says that all it asked for was within its rate and burst.
	WithinRate bool           `json:"within_rate"`
	Sent       int            `json:"sent"`
	OK         int            `json:"ok"`
	Outcomes   map[string]int `json:"outcomes"`
	// TokensPerSecond is the account's rate, 0 when it is not checked.
	TokensPerSecond float64 `json:"rate_tokens_per_second"`
	// OfferedTPS and ServedTPS are tokens a second, prompt and output.
	OfferedTPS float64 `json:"offered_tokens_per_second"`
	ServedTPS  float64 `json:"served_tokens_per_second"`
	// WrongfulRefusals are rate refusals while all that the account had
	// asked for was within its rate and burst.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// RefusalsWithRoom are rate refusals of requests that one bucket for
	// the whole fleet, charged for what was admitted, would have taken.
	RefusalsWithRoom int `json:"refusals_with_room"`
	// OverBurst is the most tokens admitted beyond rate and burst in any
	// window, by the clock of the caller.
	OverBurst  float64 `json:"over_burst_tokens"`
	FirstToken Latency `json:"first_token"`
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	// ConnectFailures is how often an entry took no connection.
	ConnectFailures int64 `json:"passed_over"`
	// HitRate is cached over all prompt tokens.
	HitRate float64 `json:"prefix_hit_rate"`
	// PossibleHitRate is the same for one cache of unlimited size.
	PossibleHitRate float64 `json:"possible_hit_rate"`
	// Wasted is the prompt tokens computed again although an engine had
	// computed them before, over all prompt tokens.
	Wasted     float64 `json:"wasted_recomputation"`
	FirstToken Latency `json:"first_token"`
	// Worst is the account with the highest p99 among those within their
	// rate, or among all when none is; one never answered is worse yet.
	Worst string `json:"worst_served_account"`
	// LowestShare is the account, chosen the same way, with the smallest
	// part of its requests answered.
	LowestShare      string          `json:"lowest_share_account"`
	WrongfulRefusals int             `json:"wrongful_refusals"`
	Accounts         []AccountReport `json:"accounts"`
	// Reasons are the first failures and violations.
	Reasons []string `json:"reasons,omitempty"`
}

// Summarize computes the measures from results in order of arrival.
func Summarize(p Profile, seed uint64, results []Result) Report {
	rep := Report{Seed: seed, Sent: len(results), Outcomes: map[string]int{}}
	all := newHistogram()
	byAccount := map[string][]Result{}
	for _, r := range results {
		rep.Outcomes[string(r.Outcome)]++
		rep.Seconds = max(rep.Seconds, r.At.Seconds())
		byAccount[r.Account] = append(byAccount[r.Account], r)
		if r.Outcome == OutcomeOK {
			record(all, r.FirstToken)
		}
		if (r.Outcome == OutcomeFailed || r.Outcome == OutcomeViolation) && len(rep.Reasons) < reasonsKept {
			rep.Reasons = append(rep.Reasons, string(r.Outcome)+": "+r.Code)
		}
	}
	rep.FirstToken = latency(all)
	rep.HitRate, rep.PossibleHitRate, rep.Wasted = cacheMeasures(p.PieceBytes, results)
	for _, a := range p.Accounts {
		ar := summarizeAccount(a, byAccount[a.Name], rep.Seconds)
		rep.WrongfulRefusals += ar.WrongfulRefusals
		rep.Accounts = append(rep.Accounts, ar)
	}
	rep.Worst = worst(rep.Accounts, func(a AccountReport) float64 { return a.FirstToken.P99 })
	rep.LowestShare = worst(rep.Accounts, func(a AccountReport) float64 { return 1 - a.Share() })
	return rep
}

// cacheMeasures are the hit rate, the possible one, and the waste. The chains
// differ between accounts, so that no account counts on another's pieces. The
// waste is taken over all requests: which of two that overlap computes a shared
// piece does not matter, only that one of them need not.
func cacheMeasures(pieceBytes int, results []Result) (hit, possible, wasted float64) {
	seen := map[prefix.Hash]bool{}
	var prompt, cached, known int
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
		prompt += r.Usage.PromptTokens
		cached += r.Usage.PromptTokensDetails.CachedTokens
		known += n * pieceBytes / engine.BytesPerToken
	}
	if prompt == 0 {
		return 0, 0, 0
	}
	hit, possible = float64(cached)/float64(prompt), float64(known)/float64(prompt)
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
			record(hist, r.FirstToken)
		}
	}
	ar.FirstToken = latency(hist)
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
	offered, admitted := meter{rate: a.TokensPerSecond}, meter{rate: a.TokensPerSecond}
	for _, r := range results {
		tokens := float64(r.Tokens)
		within := offered.add(r.At, tokens) <= a.BurstTokens
		room := admitted.at(r.At)+tokens <= a.BurstTokens
		ar.WithinRate = ar.WithinRate && within
		if r.Outcome != OutcomeRateRefused {
			if r.Outcome != OutcomeRefused {
				ar.OverBurst = max(ar.OverBurst, admitted.add(r.At, tokens)-a.BurstTokens)
			}
			continue
		}
		if within {
			ar.WrongfulRefusals++
		}
		if room {
			ar.RefusalsWithRoom++
		}
	}
}

// Share is the part of the account's requests that were answered.
func (ar AccountReport) Share() float64 {
	if ar.Sent == 0 {
		return 1
	}
	return float64(ar.OK) / float64(ar.Sent)
}

// worst is the account that scores highest among those that count most:
// within their rate before others, never answered before answered.
func worst(accounts []AccountReport, score func(AccountReport) float64) string {
	sorted := append([]AccountReport{}, accounts...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.WithinRate != b.WithinRate {
			return a.WithinRate
		}
		if a.unanswered() != b.unanswered() {
			return a.unanswered()
		}
		return score(a) > score(b)
	})
	return sorted[0].Name
}

func (ar AccountReport) unanswered() bool { return ar.Sent > 0 && ar.OK == 0 }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significant)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}
