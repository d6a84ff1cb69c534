package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// registrationReadFraction is the interval between reads of the registrations as a
// fraction of the drain bound, so that a failed read can be repeated in time. Long
// polling would return on every heartbeat of every target.
const registrationReadFraction = 0.25

// registrationState is this instance's position in the registrations of targets. It is
// guarded by Gateway.mu.
type registrationState struct {
	// nextOffset is the offset at which to continue reading, or unreadOffset before the
	// first read.
	nextOffset int64
	// knownUpTo is the time up to which all registrations are known here.
	knownUpTo time.Duration
	// changes holds recently read changes, to be sent to peers.
	changes directory.ChangeLog
}

// unreadOffset is the offset of a feed that has not been read yet.
const unreadOffset = int64(-1)

// followRegistrations keeps the directory of targets up to date.
func (g *Gateway) followRegistrations(ctx context.Context) {
	scheduler := feedturn.New(feedturn.Settings{
		StalenessBound: g.settings.DrainBound, ReadInterval: time.Duration(registrationReadFraction * float64(g.settings.DrainBound)),
	})
	loaded := false
	for g.awaitRead(ctx, scheduler, g.registrationView) {
		g.mu.Lock()
		from := g.registrations.nextOffset
		g.mu.Unlock()
		sent := g.clock.Now()
		events, next, err := g.readRegistrations(ctx, from, loaded)
		if errors.Is(err, ErrTrimmed) {
			loaded = false
			continue
		}
		g.recordRead(ctx, scheduler, &g.feeds.registrationsUnreachable, "registrations", err)
		if err == nil {
			g.applyRegistrations(sent, from, next, events, !loaded)
			loaded = true
		}
	}
}

// registrationView returns the state on which the next read of the registrations
// depends.
func (g *Gateway) registrationView() feedturn.View {
	g.mu.Lock()
	known, upTo := g.registrations.nextOffset != unreadOffset, g.registrations.knownUpTo
	g.mu.Unlock()
	return feedturn.View{Known: known, KnownUpTo: upTo, Reader: g.peers.isFleetReader(), Standby: g.peers.isDomainReader(), FleetSize: g.peers.fleetSize()}
}

func (g *Gateway) readRegistrations(ctx context.Context, offset int64, loaded bool) ([]directory.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !loaded {
		return g.store.AllRegistrations(ctx)
	}
	return g.store.RegistrationsSince(ctx, offset)
}

// applyRegistrations applies the registrations between two offsets as the store held
// them at asOf. complete is set if events holds all registrations. If a peer has
// reported a later offset meanwhile, the events are outdated and have no effect.
func (g *Gateway) applyRegistrations(asOf time.Duration, from, next int64, events []directory.Event, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := &g.registrations
	if next < state.nextOffset {
		return
	}
	before := g.directory.Revision()
	var changes []directory.Event
	if complete {
		changes = g.directory.ReplaceAll(asOf, events)
		state.changes.Reset(next)
	} else {
		changes = g.directory.ApplyEvents(asOf, events)
		state.changes.Add(from, next, changes)
	}
	first := state.nextOffset == unreadOffset
	state.nextOffset, state.knownUpTo = next, max(state.knownUpTo, asOf)
	if g.directory.Revision() == before && !first {
		return
	}
	for _, e := range changes {
		logRegistrationEvent(e)
	}
	g.limits.retain(g.directory.Has)
	g.origins.noteTargets(g.clock.Now(), events)
	g.updateServiceTargets()
}

// recordLeaving records that a target has announced in its response to a request that it
// leaves.
func (g *Gateway) recordLeaving(c *call, id directory.Incarnation) {
	g.mu.Lock()
	isNew := g.directory.MarkLeaving(g.clock.Now(), id)
	if isNew {
		g.updateServiceTargets()
	}
	g.mu.Unlock()
	if isNew {
		logline.Info("target_leaving", "target", id.ID, "born", id.StartedMs, "request", c.ID)
	}
}

// registrationChanges returns the changes since an offset, for a peer. It returns nil
// if the peer gets them from other instances or if changes since the offset were
// dropped here. The caller holds g.mu.
func (g *Gateway) registrationChanges(now time.Duration, offset int64, forward bool) *wire.RegistrationChanges {
	state := &g.registrations
	if !forward || offset == unreadOffset || state.nextOffset == unreadOffset {
		return nil
	}
	events, ok := state.changes.Since(offset)
	if !ok {
		return nil
	}
	return &wire.RegistrationChanges{NextOffset: state.nextOffset, AgeMillis: (now - state.knownUpTo).Milliseconds() + 1, Events: events}
}

// applyRegistrationChanges applies changes reported by a peer in response to a request
// that was sent at sentAt with the given offset.
func (g *Gateway) applyRegistrationChanges(sentAt time.Duration, offset int64, changes *wire.RegistrationChanges) {
	if changes == nil {
		return
	}
	g.applyRegistrations(sentAt-time.Duration(changes.AgeMillis)*time.Millisecond, offset, changes.NextOffset, changes.Events, false)
}

func logRegistrationEvent(e directory.Event) {
	if e.Registration == nil {
		logline.Info("target_gone", "target", e.ID)
		return
	}
	r := e.Registration
	logline.InfoSampled("target_registered", "target", e.ID, "address", r.Address, "domain", r.Domain, "state", string(r.State),
		"born", r.StartedMs, "seq", r.Seq, "versions", r.Versions)
}

// updateServiceTargets passes the current targets on to each service. The caller holds g.mu.
func (g *Gateway) updateServiceTargets() {
	t := g.table.Load()
	if t == nil {
		return
	}
	now, registered := g.clock.Now(), g.directory.All()
	for i := range t.Config().Services {
		s := &t.Config().Services[i]
		if s.Cache != nil && s.Engine == nil {
			continue
		}
		g.origins.updateVersions(now, s.Name, registered)
		g.limits.addService(s.Name)
		targets, isCanary := g.canaries.classify(s.Name, g.directory.Usable(s.Name), g.clock.Now()-g.contactAgeLocked())
		if s.Engine != nil {
			g.engineServiceFor(s.Name).updateTargets(targets, isCanary, s.Engine)
		} else {
			g.plainServiceFor(s.Name).updateTargets(targets, isCanary)
		}
		g.canaries.applied(s.Name)
	}
	g.updateVersionBounds()
}

// engineServiceOf returns the state of a call's service.
func (g *Gateway) engineServiceOf(c *call) *engineService {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engineServiceFor(c.service.Name)
}

// plainServiceOf returns the state of a call's service.
func (g *Gateway) plainServiceOf(c *call) *plainService {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plainServiceFor(c.service.Name)
}

// forEachModel calls visit for every model of every service with known weights
// versions. The caller holds g.mu.
func (g *Gateway) forEachModel(visit func(s *routing.Service, model string, v *namedVersions)) {
	t := g.table.Load()
	if t == nil {
		return
	}
	for i := range t.Config().Services {
		s := &t.Config().Services[i]
		if s.Engine == nil {
			continue
		}
		for _, model := range s.Engine.Models {
			if v, ok := g.versions[model]; ok {
				visit(s, model, v)
			}
		}
	}
}
