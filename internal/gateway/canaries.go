package gateway

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/canary"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// permitValidity is how long a permit holds after its holder published it, at most. It
	// covers a few lost updates, and is a part of the bound on requests to a bad version.
	permitValidity         = 1500 * time.Millisecond
	permitValidityFraction = 0.3
	// decidedRetention is how long a decision is part of the published state, and how long
	// targets of a replaced version are left out, whose registrations may lag.
	decidedRetention = 10 * time.Second
	// inheritedAfterStart is the age of a process up to which an order that it learns of may have
	// been decided before it started.
	inheritedAfterStart = 5 * time.Second
)

// canaries holds the state of the rollouts that operators order. Its lock may be taken while
// Gateway.mu is held, but not the reverse.
type canaries struct {
	instance string
	settings canary.Settings
	validity time.Duration
	now      func() time.Duration

	mu       sync.Mutex
	services map[string]*serviceRollout
	versions softwareVersions
	// stableRunning counts the attempts at stable targets, by service.
	stableRunning map[string]int
	// changed is set when the targets of services have to be classified again.
	changed bool
}

// serviceRollout is the newest ordered rollout of a service.
type serviceRollout struct {
	order     canary.Order
	orderedAt time.Duration
	phase     canary.Phase
	decidedAt time.Duration
	// classifiedPhase is the phase by which targets were last classified, appliedPhase the one of
	// the classification that the service uses.
	classifiedPhase, appliedPhase canary.Phase
	// reported is set once operators have been told a final phase.
	reported bool
	// inherited is set if the order may have been decided before this process started.
	inherited bool
	// suspected is set once an instance has judged the new version bad.
	suspected bool
	evidence  *canary.Evidence
	// unsent counts the outcomes here since they were last published.
	unsent map[canary.Sample]uint32
	// permit is the last one received, permitAt the time at which it was published.
	permit   canary.Permit
	permitAt time.Duration
	// holder is the state that only the holder of the order lease uses.
	holder rolloutHolder
}

func newCanaries(s Settings, now func() time.Duration) *canaries {
	return &canaries{
		instance: s.Instance, now: now,
		settings: canary.Settings{ExposureShare: s.ExposureShare, ExposureSlack: s.ExposureSlack},
		validity: min(permitValidity, time.Duration(permitValidityFraction*float64(s.RollbackBound))),
		services: map[string]*serviceRollout{}, versions: softwareVersions{}, stableRunning: map[string]int{},
	}
}

// addOrder records an order that was first known at orderedAt. An order of a higher revision
// replaces the one before it.
func (c *canaries) addOrder(o canary.Order, orderedAt time.Duration, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.services[o.Service]
	switch {
	case known != nil && known.order.Revision > o.Revision:
		return
	case known != nil && known.order.Revision == o.Revision:
		known.orderedAt = min(known.orderedAt, orderedAt)
		return
	}
	c.services[o.Service] = &serviceRollout{
		order: o, orderedAt: orderedAt, inherited: c.now() < inheritedAfterStart, evidence: canary.NewEvidence(),
		unsent: map[canary.Sample]uint32{}, permitAt: never,
	}
	c.changed = true
	logline.Info("rollout_ordered", "service", o.Service, "version", o.Version, "duration", o.Duration, "revision", o.Revision, "from", from)
}

// find returns the rollout of a service with the given revision. The caller holds c.mu.
func (c *canaries) find(service string, revision int64) *serviceRollout {
	r := c.services[service]
	if r == nil || r.order.Revision != revision {
		return nil
	}
	return r
}

// decide records the final phase of an order. The caller holds c.mu.
func (c *canaries) decide(r *serviceRollout, p canary.Phase, from string) {
	if r.phase.Final() || !p.Final() {
		return
	}
	r.phase, r.decidedAt, c.changed = p, c.now(), true
	logline.Info("rollout_decided", "service", r.order.Service, "version", r.order.Version, "phase", p.String(), "revision", r.order.Revision, "from", from)
}

// currentPermit returns what this instance may send to canaries now. The caller holds c.mu.
func (c *canaries) currentPermit(r *serviceRollout) canary.Permit {
	if r.suspected || r.phase.Final() || c.now()-r.permitAt > c.validity {
		return canary.Permit{Phase: r.phase}
	}
	return r.permit
}

// draw decides whether the next attempt of a request goes to a canary. A request that was sent
// before goes back to the old version, unless that gets no requests any more. release must be
// called when the attempt has ended.
func (c *canaries) draw(service string, sentBefore bool, random float64) (isCanary bool, phase canary.Phase, release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.services[service]; r != nil {
		permit := c.currentPermit(r)
		phase = permit.Phase
		// Until a completion is applied, the targets of the new version still are the canaries.
		switched := permit.Share >= 1 || r.phase == canary.Complete && r.appliedPhase != canary.Complete
		if switched || !sentBefore && random < permit.Share {
			return true, phase, func() {}
		}
	}
	return false, phase, c.beginStableLocked(service)
}

// beginStable counts an attempt at a stable target until the returned function is called.
func (c *canaries) beginStable(service string) (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.beginStableLocked(service)
}

// beginStableLocked is beginStable for callers that hold c.mu.
func (c *canaries) beginStableLocked(service string) (release func()) {
	c.stableRunning[service]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stableRunning[service]--
	}
}

// classify returns the targets of a service that may be used, and which of them are canaries.
// contact is the time up to which all orders are known.
func (c *canaries) classify(service string, targets []directory.Registration, contact time.Duration) (usable []directory.Registration, isCanary map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.update(service, c.now(), targets)
	r := c.services[service]
	if r != nil {
		r.classifiedPhase = r.phase
	}
	held, newVersion := 0, []directory.Registration(nil)
	for i := range targets {
		t := targets[i]
		switch {
		case r != nil && !r.phase.Final() && t.SoftwareVersion == r.order.Version:
			newVersion = append(newVersion, t)
		case r != nil && c.isWithheld(r, t.SoftwareVersion):
		case !c.versions.knownBefore(service, t.SoftwareVersion, contact) && (r == nil || t.SoftwareVersion != r.order.Version):
			held++
		default:
			usable = append(usable, t)
		}
	}
	if held > 0 {
		c.changed = true // classified again when the orders are known
	}
	if r == nil || len(newVersion) == 0 {
		return usable, nil
	}
	if r.inherited && len(usable) == 0 && held == 0 {
		return newVersion, nil // decided before this process started, as the old version is gone
	}
	canaries := firstByHash(newVersion, c.currentPermit(r).Canaries)
	isCanary = make(map[string]bool, len(canaries))
	for _, t := range canaries {
		isCanary[t.ID] = true
	}
	return sortByID(append(usable, canaries...)), isCanary
}

// applied records that the service uses its last classification.
func (c *canaries) applied(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.services[service]; r != nil {
		r.appliedPhase = r.classifiedPhase
	}
}

// isWithheld reports whether a decided rollout leaves out the targets of a version. The caller
// holds c.mu.
func (c *canaries) isWithheld(r *serviceRollout, version string) bool {
	switch r.phase {
	case canary.RolledBack:
		return version == r.order.Version
	case canary.Complete:
		return version != r.order.Version && c.now()-r.decidedAt < decidedRetention
	}
	return false
}

// firstByHash returns the first n targets in an order that all instances share.
func firstByHash(targets []directory.Registration, n int) []directory.Registration {
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b directory.Registration) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return out[:min(n, len(out))]
}

func sortByID(targets []directory.Registration) []directory.Registration {
	slices.SortFunc(targets, func(a, b directory.Registration) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// takeChanged reports whether targets have to be classified again since the last call.
func (c *canaries) takeChanged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.services {
		// A permit that has ended, or a retention, changes the classification without an event.
		if !r.phase.Final() || c.now()-r.decidedAt < 2*decidedRetention {
			c.changed = true
		}
	}
	changed := c.changed
	c.changed = false
	return changed
}

// observe records the outcome of an attempt that was drawn in the given phase while a rollout of its service is undecided.
func (c *canaries) observe(service, version string, p canary.Phase, s canary.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.services[service]
	if r == nil || r.phase.Final() {
		return
	}
	if version != r.order.Version {
		s.Target = 0
	}
	s.Route, s.Bucket = canary.RouteKey(s.Route, p), canary.ComparableBucket(p, s.Bucket)
	s.Count = 1
	r.evidence.Add(s)
	s.Count = 0
	r.unsent[s]++
}

// hashID returns a number for a route or target that all instances share. It is not 0.
func hashID(id string) uint32 { return max(4, uint32(xxhash.Sum64String(id))) }

// takeEvidence returns the outcomes here since the last call, by order.
func (c *canaries) takeEvidence() []*wire.RolloutEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*wire.RolloutEvidence
	for _, r := range c.services {
		if len(r.unsent) == 0 {
			continue
		}
		e := &wire.RolloutEvidence{Revision: r.order.Revision}
		for s, n := range r.unsent {
			e.Samples = append(e.Samples, wire.RolloutSample{Route: s.Route, Target: s.Target, Failed: s.Failed, Bucket: s.Bucket, Count: n})
		}
		clear(r.unsent)
		out = append(out, e)
	}
	return out
}

// applyEvidence adds the outcomes of a peer.
func (c *canaries) applyEvidence(e *wire.RolloutEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.services {
		if r.order.Revision != e.Revision || r.phase.Final() {
			continue
		}
		for _, s := range e.Samples {
			r.evidence.Add(canary.Sample{Route: s.Route, Target: s.Target, Failed: s.Failed, Bucket: s.Bucket, Count: s.Count})
		}
	}
}

// judge stops the requests to new versions that are bad by the outcomes known here.
func (c *canaries) judge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.services {
		if r.suspected || r.phase.Final() {
			continue
		}
		if v := r.evidence.Judge(); v.Bad {
			r.suspected, c.changed = true, true
			logline.Info("rollout_suspected", "service", r.order.Service, "version", r.order.Version, "route", v.Route,
				"bad", v.CanaryBad, "of", v.CanaryTotal, "old_bad", v.StableBad, "old_of", v.StableTotal)
		}
	}
}

// published returns this instance's part of the undecided and recently decided rollouts. granted
// is set for the holder of the order lease.
func (c *canaries) published(granted bool) []wire.Rollout {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.Rollout
	for _, r := range c.services {
		if r.phase.Final() && c.now()-r.decidedAt > decidedRetention {
			continue
		}
		p := c.currentPermit(r)
		row := wire.Rollout{
			Service: r.order.Service, Revision: r.order.Revision, Phase: int(r.phase), Permitted: int(p.Phase),
			Suspected: r.suspected, StableRunning: c.stableRunning[r.order.Service],
		}
		if granted && !r.phase.Final() {
			row.Granted, row.Share, row.Canaries = true, p.Share, p.Canaries
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b wire.Rollout) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// applyPublished applies what a peer published at the given time.
func (c *canaries) applyPublished(at time.Duration, from string, rows []wire.Rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range rows {
		r := c.find(row.Service, row.Revision)
		if r == nil {
			continue
		}
		if row.Suspected && !r.suspected && !r.phase.Final() {
			r.suspected, c.changed = true, true
			logline.Info("rollout_suspected", "service", row.Service, "version", r.order.Version, "peer", from)
		}
		c.decide(r, canary.Phase(row.Phase), from)
		if row.Granted && at > r.permitAt {
			c.grant(r, at, canary.Permit{Phase: canary.Phase(row.Permitted), Share: row.Share, Canaries: row.Canaries})
		}
	}
}

// grant sets the permit of an order. The caller holds c.mu.
func (c *canaries) grant(r *serviceRollout, at time.Duration, p canary.Permit) {
	if p != r.permit {
		c.changed = true
		logline.Info("rollout_step", "service", r.order.Service, "version", r.order.Version, "phase", p.Phase.String(), "share", p.Share, "canaries", p.Canaries)
	}
	r.permit, r.permitAt = p, at
}

// orders returns the newest order of each service for peers.
func (c *canaries) orders() []wire.RolloutOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.RolloutOrder
	for _, r := range c.services {
		out = append(out, wire.RolloutOrder{
			Service: r.order.Service, Version: r.order.Version, DurationMs: r.order.Duration.Milliseconds(), Revision: r.order.Revision,
			AgeMillis: (c.now() - r.orderedAt).Milliseconds(), Phase: int(r.phase), Reported: r.reported,
		})
	}
	return out
}

// applyOrders applies a peer's orders from the response to a request sent at sentAt.
func (c *canaries) applyOrders(sentAt time.Duration, from string, orders []wire.RolloutOrder) {
	for _, o := range orders {
		c.addOrder(canary.Order{Service: o.Service, Version: o.Version, Duration: time.Duration(o.DurationMs) * time.Millisecond, Revision: o.Revision},
			sentAt-time.Duration(o.AgeMillis)*time.Millisecond, from)
		c.mu.Lock()
		if r := c.find(o.Service, o.Revision); r != nil {
			c.decide(r, canary.Phase(o.Phase), from)
			r.reported = r.reported || o.Reported
		}
		c.mu.Unlock()
	}
}
