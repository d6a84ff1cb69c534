package placement

import (
	"cmp"
	"slices"
	"time"
)

// Pool is the targets that serve the same model, with everything that a
// decision needs computed beforehand. It is not safe for concurrent use.
type Pool struct {
	targets  []Target
	byName   map[string]int
	seeds    []uint64
	rejected []Rejection
	filters  []Filter
	wanted   string
	// live are buffers for the division into targets for heavy and for light
	// prompts, divided says that it holds.
	live    []int
	divided bool
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
		p.Changed(i)
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

// Changed runs the filters again for one target.
func (p *Pool) Changed(i int) {
	t := &p.targets[i]
	t.rejectedBy = 0
	for bit, f := range p.filters {
		if f.Rejects(t, p.wanted) {
			t.rejectedBy |= 1 << bit
		}
	}
	if (p.rejected[i] == 0) != (t.rejectedBy == 0) {
		p.divided = false
	}
	p.rejected[i] = t.rejectedBy
}

// Want sets the version that targets should serve.
func (p *Pool) Want(version string) {
	if p.wanted == version {
		return
	}
	p.wanted = version
	for i := range p.targets {
		p.Changed(i)
	}
}

// Live counts the targets that no filter rejects.
func (p *Pool) Live() int {
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

// Unpark forgets the work counted as waiting at this instance.
func (p *Pool) Unpark() {
	for i := range p.targets {
		p.targets[i].Load.parked = 0
	}
}

// Backlog is the time that the i-th target needs for the work it has.
func (p *Pool) Backlog(i int, now time.Duration) time.Duration {
	t := &p.targets[i]
	rate := t.rate()
	return seconds(t.Load.Given(now, rate), rate)
}

const (
	// heavyShare is the part of the live targets that heavy prompts go to
	// first. Of prompts whose own part is drawn like the dossiers' (a median
	// of 2,500 tokens, a mean of 6,600), those over 8,000 tokens are a
	// thirteenth of all and two fifths of the work.
	heavyShare = 0.4
	// minDivided is the least number of live targets that are divided: with
	// fewer, one kind would be left with a single one.
	minDivided = 4
)

// divide chooses the targets for heavy prompts anew when targets came or went.
// All instances that see the same targets choose the same.
func (p *Pool) divide() {
	if p.divided {
		return
	}
	p.divided = true
	p.live = p.live[:0]
	for i := range p.targets {
		p.targets[i].takesHeavy = false
		if p.rejected[i] == 0 {
			p.live = append(p.live, i)
		}
	}
	if len(p.live) < minDivided {
		return
	}
	slices.SortFunc(p.live, func(a, b int) int { return cmp.Compare(mix(p.seeds[a]), mix(p.seeds[b])) })
	for _, i := range p.live[:int(heavyShare*float64(len(p.live)))] {
		p.targets[i].takesHeavy = true
	}
}
