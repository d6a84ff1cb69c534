package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the measures of one policy in one case.
type Result struct {
	Workload string `json:"workload"`
	Case     string `json:"case"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// HitRate is the cached part of all prompt tokens.
	HitRate float64 `json:"hit_rate"`
	// Wasted is the part of all prompt tokens that was recomputed although
	// another live engine of the same version held it.
	Wasted float64 `json:"wasted"`
	// P50 and P99 are times to first token in milliseconds, over all
	// accounts within their rate. A refused, late or lost request counts
	// with its whole deadline.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// WorstP99 is that of the worst-served account within its rate.
	WorstP99     float64 `json:"worst_account_p99_ms"`
	WorstAccount string  `json:"worst_account"`
	// Refused, Late and Lost count requests within their account's rate:
	// refused by the router, too late, failed on every attempt.
	Refused int `json:"refused_within_rate"`
	Late    int `json:"late_within_rate"`
	Lost    int `json:"lost_within_rate"`
	// Busy is the part of the time that the engines prefilled.
	Busy float64 `json:"busy"`
	// RestartHitRate is the hit rate of the requests that came within a
	// second of the times at which the herd-restart case restarts all
	// routers. The same requests are measured in every case.
	RestartHitRate float64 `json:"restart_hit_rate"`
}

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// measure collects the measures of one run.
type measure struct {
	w        *Workload
	c        *Case
	all      *hdrhistogram.Histogram
	accounts []*hdrhistogram.Histogram
	prompt   float64
	hit      float64
	waste    float64
	restart  float64
	restHit  float64
	requests int
	nRefused int
	nLate    int
	nLost    int
	busy     float64
	runs     int
}

// add takes in the measures of another run of the same policy and case.
func (m *measure) add(o *measure) {
	m.all.Merge(o.all)
	for i, h := range o.accounts {
		m.accounts[i].Merge(h)
	}
	m.prompt, m.hit, m.waste = m.prompt+o.prompt, m.hit+o.hit, m.waste+o.waste
	m.restart, m.restHit = m.restart+o.restart, m.restHit+o.restHit
	m.requests, m.nRefused = m.requests+o.requests, m.nRefused+o.nRefused
	m.nLate, m.nLost, m.busy = m.nLate+o.nLate, m.nLost+o.nLost, m.busy+o.busy
	m.runs += o.runs
}

func newMeasure(w *Workload, c *Case) *measure {
	m := &measure{w: w, c: c, runs: 1, all: hdrhistogram.New(1, histogramMax, histogramDigits)}
	for range w.Accounts {
		m.accounts = append(m.accounts, hdrhistogram.New(1, histogramMax, histogramDigits))
	}
	return m
}

// counts reports whether a call is measured for how its account fares.
func (m *measure) counts(c *call) bool {
	noisy := m.c.NoisyFactor > 0 && c.account == noisyAccount
	return c.at >= m.c.Warmup && !noisy
}

func (m *measure) prefilled(c *call, cached, elsewhere int) {
	if c.at < m.c.Warmup {
		return
	}
	piece := float64(m.w.PieceTokens)
	m.prompt += float64(c.tokens)
	m.hit += float64(cached) * piece
	m.waste += float64(max(0, elsewhere-cached)) * piece
	if c.at%restartPeriod < restartWindow {
		m.restart += float64(c.tokens)
		m.restHit += float64(cached) * piece
	}
}

func (m *measure) record(c *call, ttft time.Duration) {
	if !m.counts(c) {
		return
	}
	m.requests++
	us := min(int64(ttft/time.Microsecond), histogramMax)
	_ = m.all.RecordValue(us)
	_ = m.accounts[c.account].RecordValue(us)
}

func (m *measure) answered(c *call, now time.Duration) {
	m.record(c, now-c.at+2*m.w.ClientDelay)
}

func (m *measure) refused(c *call) { m.unserved(c, &m.nRefused) }

func (m *measure) late(c *call) { m.unserved(c, &m.nLate) }

func (m *measure) lost(c *call) { m.unserved(c, &m.nLost) }

func (m *measure) unserved(c *call, n *int) {
	if m.counts(c) {
		*n++
	}
	m.record(c, c.deadline)
}

func (m *measure) result(policy string) Result {
	r := Result{
		Workload: m.w.Name, Case: m.c.Name, Policy: policy, Requests: m.requests,
		HitRate: ratio(m.hit, m.prompt), Wasted: ratio(m.waste, m.prompt),
		P50: millis(m.all, 50), P99: millis(m.all, 99),
		Refused: m.nRefused, Late: m.nLate, Lost: m.nLost, Busy: m.busy / float64(m.runs),
		RestartHitRate: ratio(m.restHit, m.restart),
	}
	for i, h := range m.accounts {
		if p := millis(h, 99); p > r.WorstP99 {
			r.WorstP99, r.WorstAccount = p, m.w.Accounts[i].Name
		}
	}
	return r
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
