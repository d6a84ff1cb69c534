// Package targetcapacity agrees on the prefill rates of a service's targets among all
// instances.
//
// It answers loads in which targets differ in speed and many instances share them: each
// instance gets too few answers from one target to know its rate, and an instance that
// has just started knows none.
//
// Each instance measures rates from its own answers and publishes those that the fleet
// lacks, at most MaxPublished at a time whatever the number of targets and instances.
// Every instance merges the reports by itself. A target's agreed rate is a quantile over
// the reporting instances, each of which counts once, so that a single wrong instance
// can't set it. Reports are bound to an incarnation of their target and end with it.
//
// The package performs no I/O: callers pass in the time.
package targetcapacity

import (
	"math"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

const (
	// MaxPublished is the maximum number of reports that an instance publishes at a time.
	MaxPublished = 2
	// publishPeriod is how long a report is published: longer than an update takes to
	// reach all instances.
	publishPeriod = 600 * time.Millisecond
	// maxSamples is the number of an instance's latest own samples that are kept for each
	// target, maxReporters the number of other instances.
	maxSamples, maxReporters = 8, 16
	// rateQuantile is the quantile of samples and of reports that is used. Unknown work at
	// a target can only make an answer later, so high rates are nearer to the truth. The
	// highest is not used, as it may be wrong.
	rateQuantile = 0.85
	// reportFreshness is the age up to which a report makes further ones unnecessary,
	// reportExpiry the age at which it no longer counts.
	reportFreshness, reportExpiry = 10 * time.Second, 2 * time.Minute
	// minReporters and minSamples are the numbers of instances and of their samples from
	// which a rate is agreed. With fewer instances, minSamples own ones are enough.
	minReporters, minSamples = 3, 5
)

// Rate is the prefill rate of a target as agreed by the instances.
type Rate struct {
	TokensPerSecond float64
	// Low and High are cautious estimates: the median of the reports, and the highest one that
	// can't be that of a single wrong instance.
	Low, High float64
	// Reporters is the number of instances whose reports count, Samples the number of
	// responses that they have measured.
	Reporters, Samples int
	// Age is the age of the newest report.
	Age time.Duration
}

// Report is the measurement of one instance.
type Report struct {
	Target          directory.Incarnation
	TokensPerSecond int
	Samples         int
}

// Table holds the rates of the targets of one service. It is not safe for concurrent use.
type Table struct {
	targets map[string]*target
	// published are the own reports that are being published.
	published []publishedReport
	spread    spread
}

type target struct {
	id  directory.Incarnation
	own ownSamples
	// peers are the last reports of other instances.
	peers []peerReport
	// weightStep is the logarithm of the weight in use, to the base weightStepRatio; 0 if
	// none is.
	weightStep float64
}

// ownSamples are the latest rates that this instance has measured, in a ring.
type ownSamples struct {
	rates [maxSamples]float64
	count int
	// at is when the last one was measured, publishedAt when they were last published.
	at, publishedAt time.Duration
}

type peerReport struct {
	instance string
	rate     float64
	samples  int
	at       time.Duration
}

type publishedReport struct {
	Report
	until time.Duration
}

// New returns a table without targets.
func New() *Table { return &Table{targets: map[string]*target{}} }

// SetTargets sets the targets of the service. What is known of other incarnations is
// forgotten.
func (t *Table) SetTargets(ids []directory.Incarnation) {
	next := make(map[string]*target, len(ids))
	for _, id := range ids {
		next[id.ID] = &target{id: id}
		if known := t.targets[id.ID]; known != nil && known.id == id {
			next[id.ID] = known
		}
	}
	t.targets = next
	t.published = slices.DeleteFunc(t.published, func(p publishedReport) bool { return t.find(p.Target) == nil })
}

// find returns the state of an incarnation, or nil if it is not a target.
func (t *Table) find(id directory.Incarnation) *target {
	if known := t.targets[id.ID]; known != nil && known.id == id {
		return known
	}
	return nil
}

// Observe records a rate that this instance has measured.
func (t *Table) Observe(now time.Duration, id directory.Incarnation, tokensPerSecond float64) {
	known := t.find(id)
	if known == nil || !(tokensPerSecond >= 1) || math.IsInf(tokensPerSecond, 1) {
		return
	}
	own := &known.own
	own.rates[own.count%maxSamples] = tokensPerSecond
	own.count++
	own.at = now
}

// Apply records the report of another instance, made at the given time. An instance
// repeats a report for as long as it publishes it.
func (t *Table) Apply(at time.Duration, instance string, r Report) {
	known := t.find(r.Target)
	if known == nil || r.TokensPerSecond <= 0 || r.Samples <= 0 {
		return
	}
	report := peerReport{instance: instance, rate: float64(r.TokensPerSecond), samples: min(r.Samples, maxSamples), at: at}
	for i, p := range known.peers {
		if p.instance != instance {
			continue
		}
		if at > p.at && (p.rate != report.rate || p.samples != report.samples || at-p.at > 2*publishPeriod) {
			known.peers[i] = report
		}
		return
	}
	if len(known.peers) < maxReporters {
		known.peers = append(known.peers, report)
		return
	}
	oldest := 0
	for i, p := range known.peers {
		if p.at < known.peers[oldest].at {
			oldest = i
		}
	}
	if known.peers[oldest].at < at {
		known.peers[oldest] = report
	}
}

// Rate returns the agreed rate of a target. It returns false while too little is known.
func (t *Table) Rate(now time.Duration, id directory.Incarnation) (Rate, bool) {
	known := t.find(id)
	if known == nil {
		return Rate{}, false
	}
	return known.rate(now)
}

func (s *target) rate(now time.Duration) (Rate, bool) {
	var rates [maxReporters + 1]float64
	list := rates[:0]
	out := Rate{Age: reportExpiry}
	add := func(rate float64, samples int, at time.Duration) {
		if now-at >= reportExpiry {
			return
		}
		list = append(list, rate)
		out.Reporters++
		out.Samples += samples
		out.Age = min(out.Age, now-at)
	}
	for _, p := range s.peers {
		add(p.rate, p.samples, p.at)
	}
	own, ownCount := s.own.rate()
	if ownCount > 0 {
		add(own, ownCount, s.own.at)
	}
	switch {
	case out.Reporters >= minReporters && out.Samples >= minSamples:
		out.setRates(list)
	case ownCount >= minSamples && now-s.own.at < reportExpiry:
		rates := s.own.rates
		out.setRates(rates[:ownCount])
		out.Reporters, out.Samples, out.Age = 1, ownCount, now-s.own.at
	default:
		return Rate{}, false
	}
	return out, true
}

// setRates sets the estimates from a list of rates, which it sorts.
func (r *Rate) setRates(list []float64) {
	r.TokensPerSecond, r.Low, r.High = quantile(list, rateQuantile), quantile(list, 0.5), quantile(list, 1)
}

// rate returns the own estimate and the number of samples that it is of.
func (o *ownSamples) rate() (tokensPerSecond float64, samples int) {
	samples = min(o.count, maxSamples)
	if samples == 0 {
		return 0, 0
	}
	rates := o.rates
	return quantile(rates[:samples], rateQuantile), samples
}

// quantile returns the q-quantile of a list that is not empty, but not the highest of several
// values. It sorts the list.
func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	n := len(list)
	return list[max(0, min(int(math.Ceil(q*float64(n)))-1, n-2))]
}

// Reports returns the reports that this instance publishes now: own measurements of
// targets of which the fleet has few fresh reports.
func (t *Table) Reports(now time.Duration) []Report {
	t.published = slices.DeleteFunc(t.published, func(p publishedReport) bool { return now >= p.until })
	for len(t.published) < MaxPublished {
		next := t.mostWanted(now)
		if next == nil {
			break
		}
		rate, samples := next.own.rate()
		next.own.publishedAt = now
		t.published = append(t.published, publishedReport{
			Report: Report{Target: next.id, TokensPerSecond: int(rate), Samples: samples}, until: now + publishPeriod,
		})
	}
	if len(t.published) == 0 {
		return nil
	}
	out := make([]Report, len(t.published))
	for i, p := range t.published {
		out[i] = p.Report
	}
	return out
}

// mostWanted returns the target with the fewest fresh reports among those with own
// samples that haven't been published, or nil if no target needs a report. Of several it
// returns the one measured last, as instances that chose by name would all choose the same.
func (t *Table) mostWanted(now time.Duration) *target {
	var best *target
	bestFresh := maxReporters
	for _, s := range t.targets {
		if s.own.count == 0 || s.own.at <= s.own.publishedAt {
			continue
		}
		fresh := s.freshReports(now)
		if fresh < bestFresh || best != nil && fresh == bestFresh && s.measuredAfter(best) {
			best, bestFresh = s, fresh
		}
	}
	return best
}

// measuredAfter orders targets by their last own sample, and by name if these are of the same
// time.
func (s *target) measuredAfter(other *target) bool {
	if s.own.at != other.own.at {
		return s.own.at > other.own.at
	}
	return s.id.ID < other.id.ID
}

func (s *target) freshReports(now time.Duration) int {
	n := 0
	for _, p := range s.peers {
		if now-p.at < reportFreshness {
			n++
		}
	}
	return n
}
