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

// registrationShare is the pause between reads of the registrations, as a part
// of the time within which a draining target must get no new work: a read that
// fails can be made again. A read that waits for news would wake with each
// heartbeat of each target.
const registrationShare = 0.25

// registrationFeed is this instance's place in the registrations of targets.
// Guarded by Gateway.mu.
type registrationFeed struct {
	// next is where to read on; unread before the first read.
	next int64
	// upTo is when the store held all that is known here.
	upTo time.Duration
	// changes are what recent reads have brought, for peers.
	changes directory.ChangeLog
}

// unread is the place in a feed of an instance that has read nothing of it.
const unread = int64(-1)

// followRegistrations keeps the directory of targets up to date.
func (g *Gateway) followRegistrations(ctx context.Context) {
	turn := feedturn.New(feedturn.Settings{
		StalenessBound: g.settings.DrainBound, ReadInterval: time.Duration(registrationShare * float64(g.settings.DrainBound)),
	})
	known := false
	for g.awaitTurn(ctx, turn, g.registrationView) {
		g.mu.Lock()
		from := g.registrations.next
		g.mu.Unlock()
		sent := g.clock.Now()
		events, next, err := g.readRegistrations(ctx, from, known)
		if errors.Is(err, ErrTrimmed) {
			known = false
			continue
		}
		g.tookTurn(ctx, turn, &g.feeds.registrations, "registrations", err)
		if err == nil {
			g.register(sent, from, next, events, !known)
			known = true
		}
	}
}

// registrationView is what the next turn at the registrations depends on.
func (g *Gateway) registrationView() feedturn.View {
	g.mu.Lock()
	known, upTo := g.registrations.next != unread, g.registrations.upTo
	g.mu.Unlock()
	return feedturn.View{Known: known, KnownUpTo: upTo, Reader: g.peers.reads(), Standby: g.peers.readsForDomain(), FleetSize: g.peers.fleetSize()}
}

func (g *Gateway) readRegistrations(ctx context.Context, next int64, known bool) ([]directory.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !known {
		return g.store.AllRegistrations(ctx)
	}
	return g.store.RegistrationsSince(ctx, next)
}

// register takes in the registrations from one place in the feed to another,
// as the store held them at that time; whole says that they are all there is.
// A peer's report may have come meanwhile that holds more: then these are old.
func (g *Gateway) register(at time.Duration, from, next int64, events []directory.Event, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := &g.registrations
	if next < f.next {
		return
	}
	before := g.directory.Revision()
	var changes []directory.Event
	if whole {
		changes = g.directory.ReplaceAll(at, events)
		f.changes.Reset(next)
	} else {
		changes = g.directory.ApplyEvents(at, events)
		f.changes.Add(from, next, changes)
	}
	first := f.next == unread
	f.next, f.upTo = next, max(f.upTo, at)
	if g.directory.Revision() == before && !first {
		return
	}
	for _, e := range changes {
		logEvent(e)
	}
	g.limits.retain(g.directory.Has)
	g.updatePools()
}

// targetNews is what this instance passes on to a peer that would read on at a
// place in the registrations; nil when the peer has it from others, or when what
// it lacks was dropped here. The caller holds g.mu.
func (g *Gateway) targetNews(now time.Duration, place int64, passOn bool) *wire.RegistrationChanges {
	f := &g.registrations
	if !passOn || place == unread || f.next == unread {
		return nil
	}
	events, ok := f.changes.Since(place)
	if !ok {
		return nil
	}
	return &wire.RegistrationChanges{NextOffset: f.next, AgeMillis: (now - f.upTo).Milliseconds() + 1, Events: events}
}

// takeTargetNews takes in a peer's report of the registrations, asked for at that
// time by an instance that stood at that place.
func (g *Gateway) takeTargetNews(asked time.Duration, place int64, n *wire.RegistrationChanges) {
	if n == nil {
		return
	}
	g.register(asked-time.Duration(n.AgeMillis)*time.Millisecond, place, n.NextOffset, n.Events, false)
}

func logEvent(e directory.Event) {
	if e.Registration == nil {
		logline.Info("target_gone", "target", e.ID)
		return
	}
	r := e.Registration
	logline.Sampled("target_registered", "target", e.ID, "address", r.Address, "domain", r.Domain, "state", string(r.State),
		"born", r.StartedMs, "seq", r.Seq, "versions", r.Versions)
}

// updatePools gives each service's pool its targets. The caller holds g.mu.
func (g *Gateway) updatePools() {
	t := g.table.Load()
	if t == nil {
		return
	}
	for i := range t.Config().Services {
		s := &t.Config().Services[i]
		switch {
		case s.Engine != nil:
			g.engine(s.Name).updateTargets(g.directory.Usable(s.Name), s.Engine)
		case s.Cache == nil:
			g.service(s.Name).updateTargets(g.directory.Usable(s.Name))
		}
	}
	g.updateVersionBounds()
}

// engineOf is the pool of a call's service.
func (g *Gateway) engineOf(c *call) *enginePool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engine(c.service.Name)
}

// goals are the versions that each service's models should have. The caller
// holds g.mu.
func (g *Gateway) eachGoal(visit func(s *routing.Service, model string, v *namedVersions)) {
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
