package canary

import (
	"math"
	"time"
)

const (
	// latencyBuckets is the number of buckets for the ratio of an answer's latency to the
	// expected one. Two buckets double the ratio; the bucket of ratio 1 is neutralBucket.
	latencyBuckets   = 16
	neutralBucket    = 8
	bucketsPerDouble = 2
)

// Sample counts equal outcomes of attempts.
type Sample struct {
	// Route identifies the route and the phase; see RouteKey. Target identifies the target if it
	// is a canary; 0 for stable targets.
	Route, Target uint32
	// Failed is set for attempts that failed. Bucket is the latency of the others.
	Failed bool
	Bucket uint8
	Count  uint32
}

// RouteKey returns the key for a route in a phase. Phases are compared separately, since the share
// of the requests that canaries get differs: the burst of a few seconds in phase Loading would
// count for more of the canaries' answers than of the others'.
func RouteKey(route uint32, p Phase) uint32 {
	return route&^phaseMask | uint32(min(p, Switching))
}

// phaseMask selects the phase in a route key.
const phaseMask = 3

// stableBaseline returns the outcomes of the old version to compare those of a route key with. In
// phase Switching these are the ones of the phases before.
func (e *Evidence) stableBaseline(key uint32) counts {
	baseline := e.routes[key].stable
	if Phase(key&phaseMask) == Switching {
		for _, p := range []Phase{Running, Loading} {
			if r := e.routes[RouteKey(key, p)]; r != nil {
				baseline.merge(&r.stable)
			}
		}
	}
	return baseline
}

// ComparableBucket returns the bucket to record for an answer in a phase. Once the old version
// gets no requests, there is nothing to compare latencies with.
func ComparableBucket(p Phase, bucket uint8) uint8 {
	if p == Switching {
		return 0
	}
	return bucket
}

// Bucket returns the bucket of an answer that took the given time instead of the expected one.
func Bucket(latency, expected time.Duration) uint8 {
	if latency <= 0 || expected <= 0 {
		return neutralBucket
	}
	exact := neutralBucket + bucketsPerDouble*math.Log2(latency.Seconds()/expected.Seconds())
	return uint8(min(max(math.Round(exact), 0), latencyBuckets-1))
}

// counts are the outcomes of the attempts at one or several targets.
type counts struct {
	failed    uint32
	latencies [latencyBuckets]uint32
}

func (c *counts) add(s Sample) {
	if s.Failed {
		c.failed += s.Count
		return
	}
	c.latencies[min(s.Bucket, latencyBuckets-1)] += s.Count
}

func (c *counts) merge(o *counts) {
	c.failed += o.failed
	for i, n := range o.latencies {
		c.latencies[i] += n
	}
}

// answered returns the number of attempts that did not fail.
func (c *counts) answered() (n uint32) {
	for _, l := range c.latencies {
		n += l
	}
	return n
}

func (c *counts) total() uint32 { return c.failed + c.answered() }

// slowerThan returns the number of answers in the given bucket and above.
func (c *counts) slowerThan(bucket int) (n uint32) {
	for _, l := range c.latencies[min(bucket, latencyBuckets):] {
		n += l
	}
	return n
}

// median returns the bucket of the median answer.
func (c *counts) median() int {
	half, seen := (c.answered()+1)/2, uint32(0)
	for i, l := range c.latencies {
		if seen += l; seen >= half {
			return i
		}
	}
	return latencyBuckets - 1
}

// routeEvidence are the outcomes on one route.
type routeEvidence struct {
	stable   counts
	canaries map[uint32]*counts // by target
}

// Evidence holds the outcomes of all instances' attempts since an order.
type Evidence struct {
	routes map[uint32]*routeEvidence
}

// NewEvidence returns evidence without samples.
func NewEvidence() *Evidence { return &Evidence{routes: map[uint32]*routeEvidence{}} }

// Add adds a sample.
func (e *Evidence) Add(s Sample) {
	r := e.routes[s.Route]
	if r == nil {
		r = &routeEvidence{canaries: map[uint32]*counts{}}
		e.routes[s.Route] = r
	}
	if s.Target == 0 {
		r.stable.add(s)
		return
	}
	c := r.canaries[s.Target]
	if c == nil {
		c = &counts{}
		r.canaries[s.Target] = c
	}
	c.add(s)
}

// Totals returns the number of attempts at stable targets and at canaries.
func (e *Evidence) Totals() (stable, canary uint32) {
	for _, r := range e.routes {
		stable += r.stable.total()
		for _, c := range r.canaries {
			canary += c.total()
		}
	}
	return stable, canary
}
