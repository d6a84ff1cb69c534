package canary

import (
	"math"
	"time"
)

// Settings bound what a bad version may get.
type Settings struct {
	// ExposureShare is the largest fraction of a service's requests between an order and its
	// end that a bad version may get, ExposureSlack the number of requests in addition.
	ExposureShare float64
	ExposureSlack float64
}

const (
	// observeFraction is the part of the exposure share that is granted at first. The rest is
	// kept for the last steps, in which a fault that shows under load only is found.
	observeFraction = 0.5
	// shareStep is the step in which shares change.
	shareStep = 0.01
	// maxObserveShare bounds that share where requests are few.
	maxObserveShare = 0.2
	// loadShare is the share granted in the step before all requests are sent to the new
	// version. As many canaries get it as give each the load of a stable target.
	loadShare = 0.3
	// detectionTime is the time in which a version that turns bad is stopped everywhere.
	detectionTime = 1500 * time.Millisecond
	// drainFraction is the part of an order's duration for the running requests of the old
	// version to end, finishFraction the part left at the end for the decision to be written.
	drainFraction, minDrainTime, maxDrainTime = 0.25, time.Second, 6 * time.Second
	finishFraction, minFinishTime             = 0.08, 500 * time.Millisecond
	// loadStepFraction is the part of the duration for the step at loadShare.
	loadStepFraction, minLoadStep, maxLoadStep = 0.15, 2 * time.Second, 4 * time.Second
	// minObserveTime is the shortest time at the first share, also for canaries that come late.
	minObserveTime = 2 * time.Second
	// enoughAnswers is the number of answers of the new version without which it is not trusted
	// with more, unless the service has so few requests that half of the granted share is less.
	enoughAnswers = 20
	// minCanaries is the number of canaries that are observed, so that one failing target is
	// told from a bad version.
	minCanaries = 2
	// drainSettleTime is the time without running requests on the old version before an order
	// is complete. A target may still work on requests whose connection has ended.
	drainSettleTime = 400 * time.Millisecond
	// noCanaryFraction is the part of the duration after which an order without canaries is
	// rolled back.
	noCanaryFraction = 0.85
)

// Input is what the controller knows at one step.
type Input struct {
	// Stable and Canary are the numbers of usable targets of the old and the new version.
	Stable, Canary int
	Evidence       *Evidence
	// Suspected is set if an instance has judged the new version bad.
	Suspected bool
	// StableDrained is set if every instance has confirmed that it sends nothing to the old
	// version and has no request running there.
	StableDrained bool
}

// Controller moves one order through its phases. It runs on the holder of the order lease.
type Controller struct {
	settings  Settings
	order     Order
	orderedAt time.Duration
	phase     Phase
	// canariesSince, loadStepSince and drainedSince are the starts of running conditions;
	// unset if they don't hold.
	canariesSince, loadStepSince, drainedSince time.Duration
	// switchedAt is when phase Switching began.
	switchedAt time.Duration
	reason     string
}

const unset = time.Duration(-1)

// NewController returns the controller of an order that was given at orderedAt. A new holder
// starts in phase Running, whatever its predecessor did: until an order is complete, the old
// version can take all requests.
func NewController(s Settings, o Order, orderedAt time.Duration) *Controller {
	return &Controller{settings: s, order: o, orderedAt: orderedAt, canariesSince: unset, loadStepSince: unset, drainedSince: unset}
}

// Reason returns why the order was decided, for the log.
func (c *Controller) Reason() string { return c.reason }

// Step returns what to grant now. The permit of a final phase is a decision: it must be recorded
// before it is published.
func (c *Controller) Step(now time.Duration, in Input) Permit {
	if c.phase.Final() {
		return Permit{Phase: c.phase}
	}
	if in.Suspected || in.Evidence.Judge().Bad {
		return c.decide(RolledBack, "bad_version")
	}
	c.track(now, in)
	if c.phase == Switching {
		return c.switching(now, in)
	}
	return c.running(now, in)
}

func (c *Controller) decide(p Phase, reason string) Permit {
	c.phase, c.reason = p, reason
	return Permit{Phase: p}
}

func (c *Controller) track(now time.Duration, in Input) {
	setSince(&c.canariesSince, now, in.Canary > 0)
	setSince(&c.drainedSince, now, in.StableDrained)
}

// setSince keeps the time since which a condition holds.
func setSince(since *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*since = unset
	case *since == unset:
		*since = now
	}
}

func (c *Controller) running(now time.Duration, in Input) Permit {
	elapsed := now - c.orderedAt
	if in.Canary == 0 {
		c.phase, c.loadStepSince = Running, unset
		if elapsed >= fractionOf(c.order.Duration, noCanaryFraction, 0, c.order.Duration) {
			return c.decide(RolledBack, "no_targets")
		}
		return Permit{}
	}
	if c.loadStepSince == unset && elapsed >= c.loadStepAt() && now-c.canariesSince >= minObserveTime && c.hasEnough(in) {
		c.loadStepSince = now
	}
	if c.loadStepSince == unset {
		return c.permit(in, c.observeShare(elapsed, in))
	}
	if now-c.loadStepSince >= c.loadStepTime() && (in.Evidence.Sufficient() || c.restIsAffordable(elapsed, in)) {
		c.phase, c.switchedAt = Switching, now
		return c.switching(now, in)
	}
	c.phase = Loading
	return c.permit(in, c.affordable(elapsed, in, loadShare))
}

func (c *Controller) switching(now time.Duration, in Input) Permit {
	if in.Canary == 0 {
		return c.decide(RolledBack, "targets_lost")
	}
	drained := c.drainedSince != unset && now-c.drainedSince >= drainSettleTime
	if drained && now-c.switchedAt >= detectionTime {
		return c.decide(Complete, "old_version_idle")
	}
	return Permit{Phase: Switching, Share: 1, Canaries: in.Canary}
}

// observeShare returns the share that is granted at first. Where requests are few, the slack of
// the exposure is a large part of them.
func (c *Controller) observeShare(elapsed time.Duration, in Input) float64 {
	share := c.settings.ExposureShare
	stable, canary := in.Evidence.Totals()
	if n := float64(stable + canary); n >= enoughAnswers && elapsed > 0 {
		share += c.settings.ExposureSlack * elapsed.Seconds() / (n * max(c.order.Duration, elapsed).Seconds())
	}
	return min(share*observeFraction, maxObserveShare)
}

// permit grants a share to as many canaries as give each of them the load of a stable target.
func (c *Controller) permit(in Input, share float64) Permit {
	share = math.Floor(share/shareStep) * shareStep
	n := int(share*float64(in.Stable) + 0.5)
	if c.loadStepSince == unset {
		n = max(n, minCanaries)
	}
	return Permit{Phase: c.phase, Share: share, Canaries: min(max(n, 1), in.Canary)}
}

// affordable returns the largest share up to the given one at which a version that is bad from
// now on stays within its exposure.
func (c *Controller) affordable(elapsed time.Duration, in Input, share float64) float64 {
	stable, canary := in.Evidence.Totals()
	rate := float64(stable+canary) / elapsed.Seconds()
	budget := c.settings.ExposureShare*rate*max(c.order.Duration, elapsed).Seconds() + c.settings.ExposureSlack - float64(canary)
	if atRisk := rate * detectionTime.Seconds(); atRisk > 0 {
		share = min(share, budget/atRisk)
	}
	return max(share, c.observeShare(elapsed, in))
}

// restIsAffordable reports whether a bad version could get all requests until the end of the order
// within its exposure.
func (c *Controller) restIsAffordable(elapsed time.Duration, in Input) bool {
	stable, canary := in.Evidence.Totals()
	rate, end := float64(stable+canary)/elapsed.Seconds(), max(c.order.Duration, elapsed)
	rest := rate * (end - elapsed + detectionTime).Seconds()
	return float64(canary)+rest <= c.settings.ExposureShare*rate*end.Seconds()+c.settings.ExposureSlack
}

// hasEnough reports whether the new version has answered enough to be trusted with more.
func (c *Controller) hasEnough(in Input) bool {
	stable, canary := in.Evidence.Totals()
	granted := c.settings.ExposureShare * observeFraction * float64(stable+canary)
	return float64(canary) >= min(enoughAnswers, granted/2)
}

// loadStepAt returns the time after the order at which the step at loadShare starts, so that the
// order is complete in time. The longer the first share is observed, the more likely a version
// that turns bad later is seen.
func (c *Controller) loadStepAt() time.Duration {
	d := c.order.Duration
	return d - fractionOf(d, finishFraction, minFinishTime, d) - fractionOf(d, drainFraction, minDrainTime, maxDrainTime) - c.loadStepTime()
}

func (c *Controller) loadStepTime() time.Duration {
	return fractionOf(c.order.Duration, loadStepFraction, minLoadStep, maxLoadStep)
}

func fractionOf(d time.Duration, fraction float64, low, high time.Duration) time.Duration {
	return min(max(time.Duration(fraction*float64(d)), low), high)
}
