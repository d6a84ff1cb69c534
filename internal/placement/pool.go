package placement

import "time"

// Pool is the targets that serve the same model, with everything that a
// decision needs computed beforehand. It is not safe for concurrent use.
type Pool struct {
	targets  []Target
	byName   map[string]int
	seeds    []uint64
	rejected []Rejection
	filters  []Filter
	wanted   string
}

// NewPool makes a pool of targets that should serve the wanted version; empty
// accepts any. The order of the targets does not matter for decisions.
func NewPool(targets []Target, wanted string, filters []Filter) *Pool {
	p := &Pool{
		targets:  targets,
		byName:   make(map[string]int, len(targets)),
		seeds:    make([]uint64, len(targets)),
		rejected: make([]Rejection, len(targets)),
		filters:  filters,
		wanted:   wanted,
	}
	for i := range targets {
		p.byName[targets[i].Name] = i
		p.seeds[i] = targetSeed(targets[i].Name)
		p.ApplyFilters(i)
	}
	return p
}

// Len is the number of targets.
func (p *Pool) Len() int { return len(p.targets) }

// Target is the i-th target. Call Changed after writing a field that a filter
// reads.
func (p *Pool) Target(i int) *Target { return &p.targets[i] }

// Find is the index of a target by its name.
func (p *Pool) Find(name string) (int, bool) {
	i, ok := p.byName[name]
	return i, ok
}

// ApplyFilters runs the filters again for one target.
func (p *Pool) ApplyFilters(i int) {
	t := &p.targets[i]
	t.rejectedBy = 0
	for bit, f := range p.filters {
		if f.Rejects(t, p.wanted) {
			t.rejectedBy |= 1 << bit
		}
	}
	p.rejected[i] = t.rejectedBy
}

// SetDesiredVersion sets the version that targets should serve.
func (p *Pool) SetDesiredVersion(version string) {
	if p.wanted == version {
		return
	}
	p.wanted = version
	for i := range p.targets {
		p.ApplyFilters(i)
	}
}

// EligibleCount counts the targets that no filter rejects.
func (p *Pool) EligibleCount() int {
	n := 0
	for _, r := range p.rejected {
		if r == 0 {
			n++
		}
	}
	return n
}

// Rejected reports that the i-th target takes no new work.
func (p *Pool) Rejected(i int) bool { return p.rejected[i] != 0 }

// RejectedBy names the filters that reject the i-th target.
func (p *Pool) RejectedBy(i int) []string {
	var names []string
	for bit, f := range p.filters {
		if p.rejected[i]&(1<<bit) != 0 {
			names = append(names, f.Name())
		}
	}
	return names
}

// ClearPending forgets the work counted as waiting at this instance.
func (p *Pool) ClearPending() {
	for i := range p.targets {
		p.targets[i].Load.parked = 0
	}
}

// MeanBacklog is the time that a live target needs for the work it has, on
// average.
func (p *Pool) MeanBacklog(now time.Duration) time.Duration {
	sum, live := time.Duration(0), 0
	for i := range p.targets {
		if p.rejected[i] == 0 {
			sum += p.Backlog(i, now)
			live++
		}
	}
	if live == 0 {
		return 0
	}
	return sum / time.Duration(live)
}

// Backlog is the time that the i-th target needs for the work it has.
func (p *Pool) Backlog(i int, now time.Duration) time.Duration {
	t := &p.targets[i]
	rate := t.rate()
	return seconds(t.Load.QueuedAtTarget(now, rate), rate)
}
