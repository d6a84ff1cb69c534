package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/streamorigin"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// originWait is how long a request that takes up a stream waits for the stream's origin. The
	// instance at which it broke off tells its peers within about half of that.
	originWait = 700 * time.Millisecond
	// originPollInterval is the interval at which it looks for the origin.
	originPollInterval = 20 * time.Millisecond
	// originCallTimeout bounds the call that asks a peer.
	originCallTimeout = 300 * time.Millisecond
	// maxOriginCalls is the number of peers that are asked. In a mesh these are all.
	maxOriginCalls = 20
	// originUnknownRetryAfter is the Retry-After of an instance that doesn't know where a stream
	// began. Another one may.
	originUnknownRetryAfter = 50 * time.Millisecond
	// registrationsMaxAgeFraction is the age of the knowledge of targets, as a fraction of the
	// drain bound, up to which a new software version would be known.
	registrationsMaxAgeFraction = 0.75
)

// chooseService chooses the service of a call: for a stream that the caller takes up the one where
// it began, which it finds out. A returned refusal means that the stream can't go on here.
func (g *Gateway) chooseService(ctx context.Context, c *call) *Refusal {
	routed := c.route.ChooseService(g.newRand())
	if !c.takesUp() || c.route.Kind != routing.Stream {
		return g.setService(c, routed)
	}
	startedAt := g.clock.Now()
	origin, from, ok := g.awaitOrigin(ctx, c, routed)
	if !ok {
		logline.Info("stream_origin_unknown", "request", c.ID, "resumes", c.Resumes, "waited", g.clock.Now()-startedAt)
		return unavailableRefusal("stream_origin_unknown", originUnknownRetryAfter)
	}
	c.stream.known, c.stream.Origin = true, origin
	logline.InfoSampled("stream_origin", "request", c.ID, "resumes", c.Resumes, "service", origin.Service, "software", origin.Software,
		"from", from, "waited", g.clock.Now()-startedAt)
	if !routeIncludes(c.route, origin.Service) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "stream_service_changed", NotRun: true}
	}
	return g.setService(c, origin.Service)
}

// setService sets the service of a call.
func (g *Gateway) setService(c *call, name string) *Refusal {
	service, ok := c.table.Service(name)
	if !ok {
		return unavailableRefusal("no_service", notReadyRetryAfter)
	}
	c.service = service
	return nil
}

// awaitOrigin returns the origin of the stream that a call takes up and who knew it. It waits for
// it if the instance at which the stream broke off may still tell.
func (g *Gateway) awaitOrigin(ctx context.Context, c *call, routed string) (origin streamorigin.Origin, from string, ok bool) {
	if origin, ok := g.knownOrigin(c); ok {
		return origin, "table", true
	}
	if software, ok := g.soleVersion(c, routed); ok {
		return streamorigin.Origin{Service: routed, Software: software}, "sole_version", true
	}
	ctx, cancel := context.WithTimeout(ctx, originWait)
	defer cancel()
	asked := g.askForOrigin(ctx, c, routed)
	poll := time.NewTicker(originPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return streamorigin.Origin{}, "", false
		case answer := <-asked.answers:
			if origin, ok := asked.add(answer); ok && (answer.Known || !g.origins.several(g.clock.Now(), routed)) {
				return origin, answer.peer, true
			}
		case <-poll.C:
			// A process that has just started reads the record of versions meanwhile.
			if software, ok := g.soleVersion(c, routed); ok {
				return streamorigin.Origin{Service: routed, Software: software}, "sole_version", true
			}
		}
		if origin, ok := g.knownOrigin(c); ok {
			return origin, "told", true
		}
	}
}

func (g *Gateway) knownOrigin(c *call) (streamorigin.Origin, bool) {
	if c.Resumes == "" {
		return streamorigin.Origin{}, false // the caller doesn't say which stream it is
	}
	return g.origins.find(c.streamKey())
}

// soleVersion returns the version at which all streams of the route have begun. An instance that
// may not have heard of a newer version doesn't know it.
func (g *Gateway) soleVersion(c *call, service string) (string, bool) {
	if len(c.route.Split) > 1 || !g.knowsTargets() {
		return "", false
	}
	return g.origins.sole(g.clock.Now(), service)
}

// knowsTargets reports whether this instance knows of all targets, except during an outage of the
// store that its peers share, in which no target can register.
func (g *Gateway) knowsTargets() bool {
	g.mu.Lock()
	age := g.clock.Now() - g.registrations.knownUpTo
	g.mu.Unlock()
	return age <= time.Duration(registrationsMaxAgeFraction*float64(g.settings.DrainBound)) || g.hearsFleet()
}

// originAnswer is a peer's answer; it is empty if the peer didn't answer.
type originAnswer struct {
	wire.StreamOriginResponse
	peer string
}

// askedPeers collects the answers of peers that were asked for the origin of a stream.
type askedPeers struct {
	answers chan originAnswer
	// pending is the number of answers to come.
	pending int
	// sole has the versions that peers take for the only one, without repeats. several is set if
	// one knows that there is more than one.
	sole    []streamorigin.Origin
	several bool
}

// add adds an answer and returns the origin once it is certain: a peer knows it, or all have
// answered and those that know of only one version agree on it.
func (a *askedPeers) add(answer originAnswer) (streamorigin.Origin, bool) {
	a.pending--
	origin := streamorigin.Origin{Service: answer.Service, Software: answer.Software}
	if answer.Known {
		return origin, true
	}
	a.several = a.several || answer.Several
	if answer.Sole && !slices.Contains(a.sole, origin) {
		a.sole = append(a.sole, origin)
	}
	if a.pending > 0 || a.several || len(a.sole) != 1 {
		return streamorigin.Origin{}, false
	}
	return a.sole[0], true
}

// askForOrigin asks peers for the origin of the stream that a call takes up.
func (g *Gateway) askForOrigin(ctx context.Context, c *call, routed string) *askedPeers {
	sources := g.peers.originSources()
	asked := &askedPeers{answers: make(chan originAnswer, len(sources)), pending: len(sources)}
	request := wire.StreamOriginRequest{Service: routed}
	if c.Resumes != "" {
		request.Stream = uint64(c.streamKey())
	}
	for _, to := range sources {
		go func() {
			// Not cancelled once the origin is known: that would drop the peer's connection.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originCallTimeout)
			defer cancel()
			answer := originAnswer{peer: to.Instance}
			if _, _, err := g.peers.call(ctx, to.Address, wire.KindStreamOrigin, request, &answer.StreamOriginResponse); err != nil {
				logline.Error(err, "stream_origin_call_failed", "request", c.ID, "peer", to.Instance)
			}
			answer.Sole = answer.Sole && len(c.route.Split) <= 1
			asked.answers <- answer
		}()
	}
	return asked
}

// originSources returns the peers to ask for the origin of a stream: all in a mesh, otherwise a few,
// since most origins are told to all.
func (p *peers) originSources() []wire.Identity {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return nil
	}
	now := p.g.clock.Now()
	var out []wire.Identity
	for name, s := range p.known { // in random order
		if len(out) < maxOriginCalls && p.isFresh(now, s) {
			out = append(out, wire.Identity{Instance: name, Address: s.Address})
		}
	}
	return out
}

// handleOriginRequest handles a peer's request for the origin of a stream.
func (g *Gateway) handleOriginRequest(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var request wire.StreamOriginRequest
	if err := f.DecodeBody(&request); err != nil {
		return nil, err
	}
	if request.Stream != 0 {
		if origin, ok := g.origins.find(streamorigin.Key(request.Stream)); ok {
			return wire.StreamOriginResponse{Known: true, Service: origin.Service, Software: origin.Software}, nil
		}
	}
	now := g.clock.Now()
	several := g.origins.several(now, request.Service)
	if several || !g.knowsTargets() {
		return wire.StreamOriginResponse{Several: several}, nil
	}
	software, ok := g.origins.sole(now, request.Service)
	return wire.StreamOriginResponse{Sole: ok, Service: request.Service, Software: software}, nil
}
