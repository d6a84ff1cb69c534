package placement

import "time"

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
	p.updateSlots(i)
}

// AddInFlight adds n to the number of this instance's requests in flight at the i-th target.
func (p *Pool) AddInFlight(i, n int) {
	p.targets[i].InFlight += n
	p.updateSlots(i)
}

// SetPeersInFlight sets the number of the other instances' requests in flight at the i-th
// target, as last reported.
func (p *Pool) SetPeersInFlight(i, n int) {
	p.targets[i].PeersInFlight = n
	p.updateSlots(i)
}

// updateSlots updates whether requests pass over the i-th target for want of a free slot.
func (p *Pool) updateSlots(i int) {
	for c := range p.excluded {
		p.excluded[c][i] &^= noFreeSlot
		if p.targets[i].slotsTaken() {
			p.excluded[c][i] |= noFreeSlot
		}
	}
}

// noFreeSlot marks targets whose shared slots are taken. They get requests only if all
// eligible targets are marked. It is beyond the bits of filters.
const noFreeSlot Rejection = 1 << 30

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
