package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/weights"
)

const (
	// outdatedGrace is how long an answer on older weights is worth as much as
	// one on newer ones, once these were named: the users' own rule. Until
	// then there is no reason to prefer the few targets that have them.
	outdatedGrace = 1500 * time.Millisecond
	// sendBoundShare is the part of the bound on old weights after which no
	// request is sent to a target with older ones. The rest is for its wait
	// there.
	sendBoundShare = 0.92
	// estimatedBoundShare stands in its place for versions of which only an estimate
	// tells when they were named: times of day may be wrong by seconds.
	estimatedBoundShare = 0.8
	// waitBoundShare is the part of the bound after which no request may wait any
	// more for its first token at a target with older weights. The rest is for
	// the way there and for hearing of a version late.
	waitBoundShare = 0.95
)

// updateVersionBounds tells the pools which versions are wanted and which targets
// load. The caller holds g.mu.
func (g *Gateway) updateVersionBounds() {
	now := g.clock.Now()
	share := func(part float64) time.Duration { return time.Duration(part * float64(g.settings.WeightsBound)) }
	bounds := map[string]*versionBounds{}
	g.eachGoal(func(s *routing.Service, model string, v *namedVersions) {
		b := bounds[s.Name]
		if b == nil {
			b = &versionBounds{preferred: map[string]int64{}, minToSend: map[string]int64{}, minToWait: map[string]int64{}}
			bounds[s.Name] = b
		}
		b.preferred[model] = v.dueBy(now - outdatedGrace)
		estimated := v.dueByEstimate(now - share(estimatedBoundShare))
		b.minToWait[model] = max(v.dueBy(now-share(waitBoundShare)), estimated)
		oldest, why := max(v.dueBy(now-share(sendBoundShare)), estimated), "bound_reached"
		if version := v.newestEstimated(); version > 0 {
			if least := minVersionFromTargets(g.directory.Usable(s.Name), model, version); least > oldest {
				oldest, why = least, "targets_tell"
			}
		}
		b.minToSend[model] = oldest
		g.setMinVersion(s.Name, model, oldest, why)
	})
	for name, pool := range g.engines {
		b := versionBounds{}
		if known := bounds[name]; known != nil {
			b = *known
		}
		pool.applyRollout(b, g.loadingNow)
	}
}

// weightsDeadlines are when targets with older weights than the versions named
// lately are excluded.
func (g *Gateway) weightsDeadlines(all *namedVersions) []weights.Deadline {
	now := g.clock.Now()
	var out []weights.Deadline
	for _, v := range all.since(now - g.settings.WeightsBound) {
		share := sendBoundShare
		if v.estimated {
			share = estimatedBoundShare
		}
		if at := v.at + time.Duration(share*float64(g.settings.WeightsBound)); at > now {
			out = append(out, weights.Deadline{Version: v.version, At: at})
		}
	}
	return out
}

// setMinVersion notes the oldest version that may serve. Where it changes, a line
// tells why, and how many targets get no requests by that. The caller holds g.mu.
func (g *Gateway) setMinVersion(service, model string, oldest int64, why string) {
	from := g.oldest[service+"/"+model]
	if from == oldest {
		return
	}
	g.oldest[service+"/"+model] = oldest
	excluded, targets := 0, g.directory.Usable(service)
	for i := range targets {
		if hasOlderWeights(&targets[i], map[string]int64{model: oldest}) {
			excluded++
		}
	}
	logline.Info("oldest_weights", "service", service, "model", model, "version", oldest, "from", from, "why", why,
		"excluded", excluded, "of", len(targets))
}

// minVersionFromTargets is the oldest version that may serve as far as targets tell. A
// process that started in the middle of a rollout does not know how long ago the
// newest version was named, nor that there was one between. When most targets
// serve the newest, the others' time is nearly over, and they can be excluded.
// Else those are excluded that are behind a version which was superseded after it
// had come to some target: it was named longer ago than the newest.
func minVersionFromTargets(targets []directory.Registration, model string, newest int64) int64 {
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
