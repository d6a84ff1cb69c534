package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/weights"
)

const (
	// outdatedGrace is how long answers from older weights keep their full value after
	// newer weights were named, by the users' definition. Until then there is no reason to
	// prefer the few targets that have the newer weights.
	outdatedGrace = 1500 * time.Millisecond
	// sendBoundShare is the fraction of the bound on the use of old weights after which no
	// request is sent to a target with older weights. The remaining time is for the wait at
	// the target.
	sendBoundShare = 0.92
	// estimatedBoundShare replaces sendBoundShare for versions whose naming time is only an
	// estimate: wall clocks may be wrong by seconds.
	estimatedBoundShare = 0.8
	// waitBoundShare is the fraction of the bound after which no request may keep waiting
	// for its first token at a target with older weights. The remaining time is for network
	// latency and for learning late of a version.
	waitBoundShare = 0.95
)

// updateVersionBounds passes the version bounds and the loading targets to the services
// of model servers. The caller holds g.mu.
func (g *Gateway) updateVersionBounds() {
	now := g.clock.Now()
	boundAge := func(share float64) time.Duration { return time.Duration(share * float64(g.settings.WeightsBound)) }
	bounds := map[string]*versionBounds{}
	g.forEachModel(func(s *routing.Service, model string, v *namedVersions) {
		b := bounds[s.Name]
		if b == nil {
			b = &versionBounds{newest: map[string]int64{}, preferred: map[string]int64{}, minToSend: map[string]int64{}, minToWait: map[string]int64{}}
			bounds[s.Name] = b
		}
		b.newest[model] = v.newest().version
		b.preferred[model] = v.newestNamedBy(now - outdatedGrace)
		estimated := v.newestEstimateNamedBy(now - boundAge(estimatedBoundShare))
		b.minToWait[model] = max(v.newestNamedBy(now-boundAge(waitBoundShare)), estimated)
		minVersion, reason := max(v.newestNamedBy(now-boundAge(sendBoundShare)), estimated), "bound_reached"
		if version := v.newestEstimated(); version > 0 {
			if fromTargets := minVersionFromTargets(g.directory.Usable(s.Name), model, version); fromTargets > minVersion {
				minVersion, reason = fromTargets, "targets_tell"
			}
		}
		b.minToSend[model] = minVersion
		g.setMinVersion(s.Name, model, minVersion, reason)
	})
	for name, service := range g.engineServices {
		b := versionBounds{}
		if known := bounds[name]; known != nil {
			b = *known
		}
		service.applyRollout(b, g.loadingTargets)
	}
}

// weightsDeadlines returns when targets with weights older than each recently named version
// will be excluded.
func (g *Gateway) weightsDeadlines(all *namedVersions) []weights.Deadline {
	now := g.clock.Now()
	var out []weights.Deadline
	for _, v := range all.newestDueAndLater(now - g.settings.WeightsBound) {
		share := sendBoundShare
		if v.estimated {
			share = estimatedBoundShare
		}
		if at := v.namedAt + time.Duration(share*float64(g.settings.WeightsBound)); at > now {
			out = append(out, weights.Deadline{Version: v.version, At: at})
		}
	}
	return out
}

// setMinVersion sets the oldest version that may serve requests. It logs each change, with
// its reason and the number of targets that it excludes. The caller holds g.mu.
func (g *Gateway) setMinVersion(service, model string, version int64, reason string) {
	from := g.oldestServing[service+"/"+model]
	if from == version {
		return
	}
	g.oldestServing[service+"/"+model] = version
	excluded, targets := 0, g.directory.Usable(service)
	for i := range targets {
		if hasOlderWeights(&targets[i], map[string]int64{model: version}) {
			excluded++
		}
	}
	logline.Info("oldest_weights", "service", service, "model", model, "version", version, "from", from, "why", reason,
		"excluded", excluded, "of", len(targets))
}

// minVersionFromTargets derives the oldest version that may serve requests from the
// versions of the targets. A process that started during a rollout does not know how long
// ago the newest version was named, nor whether other versions were named shortly before
// it. If at least half of the targets serve the newest version, the time of the others is
// nearly over and they can be excluded. Otherwise the targets are excluded that are older
// than a superseded version that some target has: that version was named earlier than the
// newest one.
func minVersionFromTargets(targets []directory.Registration, model string, newest int64) int64 {
	current, superseded := 0, int64(0)
	for _, t := range targets {
		if v := t.Versions[model]; v >= newest {
			current++
		} else {
			superseded = max(superseded, v)
		}
	}
	if current > 0 && 2*current >= len(targets) {
		return newest
	}
	return superseded
}
