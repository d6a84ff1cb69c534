package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result has the metrics of a policy in a case, over all seeds.
type Result struct {
	Workload string `json:"workload"`
	Case     string `json:"case"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// HitRate is the fraction of the prompt tokens that were cached.
	HitRate float64 `json:"hit_rate"`
	// Wasted is the fraction of the prompt tokens that were recomputed although
	// another live engine with the wanted version had them cached.
	Wasted float64 `json:"wasted"`
	// P50 and P99 are percentiles of the time to first token in milliseconds,
	// over all accounts within their rate. A refused, late or lost request
	// counts with its deadline.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// WorstP99 is the highest P99 of an account within its rate, and
	// WorstAccount the name of that account.
	WorstP99     float64 `json:"worst_account_p99_ms"`
	WorstAccount string  `json:"worst_account"`
	// Refused, Late and Lost count the requests, of accounts within their rate,
	// that the router refused, that an engine had not started at their deadline,
	// and that failed on every attempt.
	Refused int `json:"refused_within_rate"`
	Late    int `json:"late_within_rate"`
	Lost    int `json:"lost_within_rate"`
	// Busy is the mean fraction of the time that an engine spent on prefills.
	Busy float64 `json:"busy"`
	// RestartHitRate is the hit rate of the requests that arrived in the second
	// after each multiple of restartInterval, when the herd-restart cases restart
	// all routers. The same requests are measured in every case.
	RestartHitRate float64 `json:"restart_hit_rate"`
}

const (
	histogramMax    = int64(time.Minute / time.Microsecond) // in microseconds
	histogramDigits = 3                                     // significant digits
)

// metrics collects the metrics of one run, or of several merged runs.
type metrics struct {
	workload            *Workload
	testCase            *Case
	ttftHistogram       *hdrhistogram.Histogram
	accountHistograms   []*hdrhistogram.Histogram
	promptTokens        float64
	cachedTokens        float64
	wastedTokens        float64
	restartPromptTokens float64
	restartCachedTokens float64
	requests            int
	refusedCount        int
	lateCount           int
	lostCount           int
	busyFraction        float64
	runs                int
}

// merge adds the metrics of another run of the same policy and case.
func (m *metrics) merge(other *metrics) {
	m.ttftHistogram.Merge(other.ttftHistogram)
	for i, h := range other.accountHistograms {
		m.accountHistograms[i].Merge(h)
	}
	m.promptTokens, m.cachedTokens, m.wastedTokens = m.promptTokens+other.promptTokens, m.cachedTokens+other.cachedTokens, m.wastedTokens+other.wastedTokens
	m.restartPromptTokens, m.restartCachedTokens = m.restartPromptTokens+other.restartPromptTokens, m.restartCachedTokens+other.restartCachedTokens
	m.requests, m.refusedCount = m.requests+other.requests, m.refusedCount+other.refusedCount
	m.lateCount, m.lostCount, m.busyFraction = m.lateCount+other.lateCount, m.lostCount+other.lostCount, m.busyFraction+other.busyFraction
	m.runs += other.runs
}

func newMetrics(w *Workload, c *Case) *metrics {
	m := &metrics{workload: w, testCase: c, runs: 1, ttftHistogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
	for range w.Accounts {
		m.accountHistograms = append(m.accountHistograms, hdrhistogram.New(1, histogramMax, histogramDigits))
	}
	return m
}

// includes reports whether a request counts for the latencies and the unserved
// requests: it arrives after the warmup, and its account is within its rate.
func (m *metrics) includes(req *request) bool {
	noisy := m.testCase.NoisyFactor > 0 && req.account == noisyAccount
	return req.arrival >= m.testCase.Warmup && !noisy
}

// recordPrefill records the pieces of a request that were cached on its engine, and
// the most that were cached on another one.
func (m *metrics) recordPrefill(req *request, cached, elsewhere int) {
	if req.arrival < m.testCase.Warmup {
		return
	}
	piece := float64(m.workload.PieceTokens)
	m.promptTokens += float64(req.tokens)
	m.cachedTokens += float64(cached) * piece
	m.wastedTokens += float64(max(0, elsewhere-cached)) * piece
	if req.arrival%restartInterval < restartWindow {
		m.restartPromptTokens += float64(req.tokens)
		m.restartCachedTokens += float64(cached) * piece
	}
}

func (m *metrics) recordTTFT(req *request, ttft time.Duration) {
	if !m.includes(req) {
		return
	}
	m.requests++
	us := min(int64(ttft/time.Microsecond), histogramMax)
	_ = m.ttftHistogram.RecordValue(us)
	_ = m.accountHistograms[req.account].RecordValue(us)
}

func (m *metrics) recordAnswered(req *request, now time.Duration) {
	m.recordTTFT(req, now-req.arrival+2*m.workload.ClientDelay)
}

func (m *metrics) recordRefused(req *request) { m.recordUnserved(req, &m.refusedCount) }

func (m *metrics) recordLate(req *request) { m.recordUnserved(req, &m.lateCount) }

func (m *metrics) recordLost(req *request) { m.recordUnserved(req, &m.lostCount) }

func (m *metrics) recordUnserved(req *request, count *int) {
	if m.includes(req) {
		*count++
	}
	m.recordTTFT(req, req.deadline)
}

func (m *metrics) result(policy string) Result {
	r := Result{
		Workload: m.workload.Name, Case: m.testCase.Name, Policy: policy, Requests: m.requests,
		HitRate: ratio(m.cachedTokens, m.promptTokens), Wasted: ratio(m.wastedTokens, m.promptTokens),
		P50: percentileMillis(m.ttftHistogram, 50), P99: percentileMillis(m.ttftHistogram, 99),
		Refused: m.refusedCount, Late: m.lateCount, Lost: m.lostCount, Busy: m.busyFraction / float64(m.runs),
		RestartHitRate: ratio(m.restartCachedTokens, m.restartPromptTokens),
	}
	for i, h := range m.accountHistograms {
		if p := percentileMillis(h, 99); p > r.WorstP99 {
			r.WorstP99, r.WorstAccount = p, m.workload.Accounts[i].Name
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

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
