package placement

import (
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// Pool is the set of targets that serve the same model, with the filter results and
// hash seeds that decisions need. It is not safe for concurrent use.
type Pool struct {
	targets  []Target
	byName   map[string]int
	seeds    []uint64
	rejected []Rejection
	// excluded holds, for requests to stable targets and to canaries, the rejections including
	// that of the targets of the other kind.
	excluded       [2][]Rejection
	filters        []Filter
	desiredVersion string
	// inverseWeights are the reciprocals of the targets' capacity weights; nil while all
	// weights are equal.
	inverseWeights []float64
	// rateSum is the sum of the targets' prefill rates.
	rateSum float64
}

// NewPool returns a pool of targets that should serve the desired version; an empty
// version accepts any. Decisions do not depend on the order of the targets.
func NewPool(targets []Target, desiredVersion string, filters []Filter) *Pool {
	p := &Pool{
		targets:        targets,
		byName:         make(map[string]int, len(targets)),
		seeds:          make([]uint64, len(targets)),
		rejected:       make([]Rejection, len(targets)),
		excluded:       [2][]Rejection{make([]Rejection, len(targets)), make([]Rejection, len(targets))},
		filters:        filters,
		desiredVersion: desiredVersion,
	}
	for i := range targets {
		p.byName[targets[i].Name] = i
		p.seeds[i] = targetSeed(targets[i].Name)
		p.rateSum += targets[i].nominalRate()
		p.ApplyFilters(i)
	}
	return p
}

// Len returns the number of targets.
func (p *Pool) Len() int { return len(p.targets) }

// Target returns the i-th target. Call ApplyFilters after changing a field that a
// filter reads.
func (p *Pool) Target(i int) *Target { return &p.targets[i] }

// Find returns the index of the target with the given name.
func (p *Pool) Find(name string) (int, bool) {
	i, ok := p.byName[name]
	return i, ok
}

// SetPrefillRate sets the prefill rate of the i-th target, in tokens per second.
func (p *Pool) SetPrefillRate(i int, tokensPerSecond float64) {
	t := &p.targets[i]
	p.rateSum -= t.nominalRate()
	t.PrefillTokensPerSecond = tokensPerSecond
	p.rateSum += t.nominalRate()
}

// MeanPrefillRate returns the mean prefill rate of the targets, or 0 if there are none.
func (p *Pool) MeanPrefillRate() float64 {
	if len(p.targets) == 0 {
		return 0
	}
	return p.rateSum / float64(len(p.targets))
}

// SetCapacityWeights sets the weights by which targets are the home of prefixes. Targets
// without a positive weight get the mean of the others; nil makes all targets equal.
func (p *Pool) SetCapacityWeights(weights map[string]float64) {
	sum, known := 0.0, 0
	for i := range p.targets {
		if w := weights[p.targets[i].Name]; w > 0 {
			sum += w
			known++
		}
	}
	p.inverseWeights = nil
	if known == 0 {
		return
	}
	inverse, equal := make([]float64, len(p.targets)), true
	for i := range p.targets {
		inverse[i] = float64(known) / sum
		if w := weights[p.targets[i].Name]; w > 0 {
			inverse[i] = 1 / w
		}
		equal = equal && inverse[i] == inverse[0]
	}
	if !equal {
		p.inverseWeights = inverse
	}
}

// ApplyFilters runs the filters again for the i-th target.
func (p *Pool) ApplyFilters(i int) {
	t := &p.targets[i]
	t.rejectedBy = 0
	for bit, f := range p.filters {
		if f.Rejects(t, p.desiredVersion) {
			t.rejectedBy |= 1 << bit
		}
	}
	p.rejected[i] = t.rejectedBy
	p.excluded[0][i], p.excluded[1][i] = t.rejectedBy, t.rejectedBy
	p.excluded[cohort(!t.Canary)][i] |= otherCohort
}

// rank appends to dst the first limit targets in the rendezvous order of a key; see topRanked.
func (p *Pool) rank(dst []ranked, key prefix.Hash, rejected []Rejection, limit int) []ranked {
	if p.inverseWeights != nil {
		return topRankedWeighted(dst, key, p.seeds, p.inverseWeights, rejected, limit)
	}
	return topRanked(dst, key, p.seeds, rejected, limit)
}

// otherCohort is the rejection of a canary for a request to stable targets, and the reverse. It
// is beyond the bits of filters.
const otherCohort Rejection = 1 << 31

// cohort returns the index in Pool.excluded for requests to canaries or to stable targets.
func cohort(canary bool) int {
	if canary {
		return 1
	}
	return 0
}

// SetDesiredVersion sets the weights version that targets should serve.
func (p *Pool) SetDesiredVersion(version string) {
	if p.desiredVersion == version {
		return
	}
	p.desiredVersion = version
	for i := range p.targets {
		p.ApplyFilters(i)
	}
}

// EligibleCount returns the number of targets that no filter rejects.
func (p *Pool) EligibleCount() int {
	n := 0
	for _, r := range p.rejected {
		if r == 0 {
			n++
		}
	}
	return n
}

// RejectedOnlyAsSlow reports whether the i-th target would be eligible if it weren't slow.
func (p *Pool) RejectedOnlyAsSlow(i int) bool {
	t := p.targets[i]
	rejected := t.Slow
	t.Slow = false
	return rejected && !p.rejects(&t)
}

// RejectedOnlyAsOverRate reports whether the i-th target would be eligible if it weren't over its
// rate.
func (p *Pool) RejectedOnlyAsOverRate(i int) bool {
	t := p.targets[i]
	rejected := t.OverRate
	t.OverRate = false
	return rejected && !p.rejects(&t)
}

// rejects reports whether a filter rejects a target.
func (p *Pool) rejects(t *Target) bool {
	return slices.ContainsFunc(p.filters, func(f Filter) bool { return f.Rejects(t, p.desiredVersion) })
}

// Rejected reports whether a filter rejects the i-th target.
func (p *Pool) Rejected(i int) bool { return p.rejected[i] != 0 }

// RejectedBy returns the names of the filters that reject the i-th target.
func (p *Pool) RejectedBy(i int) []string {
	var names []string
	for bit, f := range p.filters {
		if p.rejected[i]&(1<<bit) != 0 {
			names = append(names, f.Name())
		}
	}
	return names
}

// ClearPending resets the work counted as waiting in this instance's queue.
func (p *Pool) ClearPending() {
	for i := range p.targets {
		p.targets[i].Load.pending = 0
	}
}

// MeanBacklog returns the average backlog of the eligible targets.
func (p *Pool) MeanBacklog(now time.Duration) time.Duration {
	sum, eligible := time.Duration(0), 0
	for i := range p.targets {
		if p.rejected[i] == 0 {
			sum += p.Backlog(i, now)
			eligible++
		}
	}
	if eligible == 0 {
		return 0
	}
	return sum / time.Duration(eligible)
}

// Backlog returns the time that the i-th target needs for the work queued there.
func (p *Pool) Backlog(i int, now time.Duration) time.Duration {
	t := &p.targets[i]
	rate := t.prefillRate()
	return processingTime(t.Load.QueuedAtTarget(now, rate), rate)
}
