package entry

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/standin"
	"github.com/mastictray/mastictray/internal/standin/engine"
)

// newSoftwareProcess returns an engine with a version of its software.
func newSoftwareProcess(t *testing.T, software string) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Config{Model: "m", Version: "1", Software: software, PieceBytes: 1024, CachePieces: 64, PrefillTPS: 1e9, DecodeTPS: 1e9, Exit: func(int) {}})
	t.Cleanup(e.Close)
	return e
}

// Guards against streams that go on at an engine with another version of its software, and against
// streams that could go on at theirs and don't.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for name, c := range map[string]struct {
		software []string // of the engines
		complete bool
	}{
		"same version":        {software: []string{"v1", "v1"}, complete: true},
		"none stated":         {software: []string{"", ""}, complete: true},
		"other version":       {software: []string{"v1", "v2"}},
		"stated by one":       {software: []string{"v1", ""}},
		"two of each version": {software: []string{"v1", "v2", "v1", "v2"}, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, len(c.software))
			software := map[*requestTarget]string{}
			var incarnations []string
			for i, target := range s.engines {
				e := newSoftwareProcess(t, c.software[i])
				target.setProcess(e.Handler(), e.Faults())
				software[target] = c.software[i]
				incarnations = append(incarnations, e.Load().Incarnation)
			}
			waitFor(t, "load reports of the new processes", func() bool {
				return s.entry.pools.engine("p").hasIncarnations(incarnations)
			})
			before := map[*requestTarget]int64{}
			broken, complete := s.startStreamThatBreaks(func(broken *requestTarget) {
				is.True(broken.faults.Load().Set(standin.Fault{Kind: "leaving"}))
				waitFor(t, "load report", func() bool { return len(s.rejectedTargets()) > 0 })
				for target := range software {
					before[target] = target.requests.Load()
				}
			})
			is.Equal(complete, c.complete)
			for target, version := range software {
				if target != broken && version != software[broken] {
					is.Equal(target.requests.Load(), before[target])
				}
			}
		})
	}
}

// hasIncarnations reports whether the pool knows these incarnations of its targets.
func (p *enginePool) hasIncarnations(want []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var got []string
	for i := range p.pool.Len() {
		got = append(got, p.pool.Target(i).Incarnation)
	}
	slices.Sort(got)
	return slices.Equal(got, slices.Sorted(slices.Values(want)))
}
