package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/weights"
)

const (
	// outdatedAfter is how long an answer on older weights is worth as much as
	// one on newer ones, once these were named: the users' own rule. Until
	// then there is no reason to prefer the few targets that have them.
	outdatedAfter = 1500 * time.Millisecond
	// mustServeShare is the part of the bound on old weights after which no
	// request is sent to a target with older ones. The rest is for its wait
	// there.
	mustServeShare = 0.92
	// estimateShare stands in its place for versions of which only an estimate
	// tells when they were named: times of day may be wrong by seconds.
	estimateShare = 0.8
	// waitShare is the part of the bound after which no request may wait any
	// more for its first token at a target with older weights. The rest is for
	// the way there and for hearing of a version late.
	waitShare = 0.95
)

// updateRollout tells the pools which versions are wanted and which targets
// load. The caller holds g.mu.
func (g *Gateway) updateRollout() {
	now := g.clock.Now()
	share := func(part float64) time.Duration { return time.Duration(part * float64(g.settings.WeightsBound)) }
	bounds := map[string]*versionBounds{}
	g.forEachModel(func(s *routing.Service, model string, v *namedVersions) {
		b := bounds[s.Name]
		if b == nil {
			b = &versionBounds{wanted: map[string]int64{}, least: map[string]int64{}, wait: map[string]int64{}}
			bounds[s.Name] = b
		}
		b.wanted[model] = v.newestNamedBy(now - outdatedAfter)
		estimated := v.newestEstimateNamedBy(now - share(estimateShare))
		b.wait[model] = max(v.newestNamedBy(now-share(waitShare)), estimated)
		oldest, why := max(v.newestNamedBy(now-share(mustServeShare)), estimated), "bound_reached"
		if version := v.newestEstimated(); version > 0 {
			if least := leastByTargets(g.directory.Usable(s.Name), model, version); least > oldest {
				oldest, why = least, "targets_tell"
			}
		}
		b.least[model] = oldest
		g.setOldest(s.Name, model, oldest, why)
	})
	for name, pool := range g.engines {
		b := versionBounds{}
		if known := bounds[name]; known != nil {
			b = *known
		}
		pool.setRollout(b, g.loadingTargets)
	}
}

// weightsDeadlines are when targets with older weights than the versions named
// lately are excluded.
func (g *Gateway) weightsDeadlines(all *namedVersions) []weights.Deadline {
	now := g.clock.Now()
	var out []weights.Deadline
	for _, v := range all.newestDueAndLater(now - g.settings.WeightsBound) {
		share := mustServeShare
		if v.estimated {
			share = estimateShare
		}
		if at := v.namedAt + time.Duration(share*float64(g.settings.WeightsBound)); at > now {
			out = append(out, weights.Deadline{Version: v.version, At: at})
		}
	}
	return out
}

// setOldest notes the oldest version that may serve. Where it changes, a line
// tells why, and how many targets get no requests by that. The caller holds g.mu.
func (g *Gateway) setOldest(service, model string, oldest int64, why string) {
	from := g.oldestServing[service+"/"+model]
	if from == oldest {
		return
	}
	g.oldestServing[service+"/"+model] = oldest
	excluded, targets := 0, g.directory.Usable(service)
	for i := range targets {
		if behind(&targets[i], map[string]int64{model: oldest}) {
			excluded++
		}
	}
	logline.Info("oldest_weights", "service", service, "model", model, "version", oldest, "from", from, "why", why,
		"excluded", excluded, "of", len(targets))
}

// leastByTargets is the oldest version that may serve as far as targets tell. A
// process that started in the middle of a rollout does not know how long ago the
// newest version was named, nor that there was one between. When most targets
// serve the newest, the others' time is nearly over, and they can be excluded.
// Else those are excluded that are behind a version which was superseded after it
// had come to some target: it was named longer ago than the newest.
func leastByTargets(targets []directory.Registration, model string, newest int64) int64 {
	serve, superseded := 0, int64(0)
	for _, t := range targets {
		if v := t.Versions[model]; v >= newest {
			serve++
		} else {
			superseded = max(superseded, v)
		}
	}
	if serve > 0 && 2*serve >= len(targets) {
		return newest
	}
	return superseded
}
