package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
)

// registrationShare is the pause between reads of the registrations, as a part
// of the time within which a draining target must get no new work: a read that
// fails can be made again. A read that waits for news would wake with each
// heartbeat of each target.
const registrationShare = 0.35

// followRegistrations keeps the directory of targets up to date.
func (g *Gateway) followRegistrations(ctx context.Context) {
	next, known, lost := int64(0), false, false
	for {
		events, n, err := g.readRegistrations(ctx, next, known)
		switch {
		case errors.Is(err, ErrTrimmed):
			known = false
			continue
		case err != nil:
			if !lost && ctx.Err() == nil {
				logline.Error(err, "store_lost", "feed", "registrations")
			}
			lost = true
		default:
			if lost {
				logline.Info("store_regained", "feed", "registrations")
			}
			g.register(events, !known)
			next, known, lost = n, true, false
		}
		pause := time.Duration(registrationShare * float64(g.settings.DrainBound))
		if lost {
			pause = g.jitter(operatorRetry)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

func (g *Gateway) readRegistrations(ctx context.Context, next int64, known bool) ([]directory.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !known {
		return g.store.AllRegistrations(ctx)
	}
	return g.store.RegistrationsSince(ctx, next)
}

// register takes in what was read; whole says that it is all there is.
func (g *Gateway) register(events []directory.Event, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	before := g.directory.Revision()
	if whole {
		g.directory.Replace(now, events)
	} else {
		g.directory.Read(now, events)
	}
	g.registered = now
	if g.directory.Revision() == before {
		return
	}
	for _, e := range events {
		logEvent(e)
	}
	g.updatePools()
}

func logEvent(e directory.Event) {
	if e.Registration == nil {
		logline.Info("target_gone", "target", e.ID)
		return
	}
	r := e.Registration
	logline.Sampled("target_registered", "target", e.ID, "address", r.Address, "domain", r.Domain, "state", string(r.State),
		"born", r.Born, "seq", r.Seq, "versions", r.Versions)
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
			g.engine(s.Name).update(g.directory.Usable(s.Name), s.Engine)
		case s.Cache == nil:
			g.service(s.Name).update(g.directory.Usable(s.Name))
		}
	}
	g.updateRollout()
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
