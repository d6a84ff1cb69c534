package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/streamorigin"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// fleetOriginsPerSecond is the number of streams per second that all instances together
	// tell their peers. Each takes nine bytes at each instance. Broken streams come first, so
	// that a larger fleet only leaves out those that still run.
	fleetOriginsPerSecond = 2500
	// minOriginsPerUpdate is the number of streams that each update may tell in any fleet.
	minOriginsPerUpdate = 4
)

// callerStream is the stream of a call once its origin is known. It may go on only at targets of
// the origin's software: what different versions send doesn't fit together.
type callerStream struct {
	known bool
	streamorigin.Origin
	// recorded is set if the stream is in the origins of this instance.
	recorded bool
}

// streamKey returns the key of the call's stream.
func (c *call) streamKey() streamorigin.Key {
	if c.Resumes != "" {
		return streamorigin.KeyOf(c.Resumes)
	}
	return streamorigin.KeyOf(c.ID)
}

// takesUp reports whether the caller has a part of the stream from an earlier attempt.
func (c *call) takesUp() bool { return c.Resumes != "" || c.LastEventID != "" }

// requiredSoftware returns the software that targets of the next attempt must have.
func (c *call) requiredSoftware() placement.SoftwareRequirement {
	return placement.SoftwareRequirement{Required: c.stream.known, Version: c.stream.Software}
}

// beginStream is called before an event of a stream is passed on to the caller.
func (g *Gateway) beginStream(c *call, a *targetAttempt) {
	if !c.stream.known {
		c.stream.known, c.stream.Origin = true, streamorigin.Origin{Service: a.target.Service, Software: a.target.SoftwareVersion}
	}
	if !c.stream.recorded && c.route.Repeatable() {
		c.stream.recorded = true
		g.origins.begin(g.clock.Now(), c.streamKey(), c.stream.Origin)
	}
}

// endStream is called when the request has ended; complete is set if its caller got the whole
// response.
func (g *Gateway) endStream(c *call, complete bool) {
	if c.stream.recorded {
		g.origins.end(g.clock.Now(), c.streamKey(), complete)
	}
}

// streamOrigins holds the origins of the streams of all instances.
type streamOrigins struct {
	mu       sync.Mutex
	table    *streamorigin.Table
	outbox   *streamorigin.Outbox
	versions *streamorigin.Versions
	// toldAt is when the last streams were taken for peers.
	toldAt time.Duration
}

func newStreamOrigins() *streamOrigins {
	return &streamOrigins{table: streamorigin.NewTable(), outbox: streamorigin.NewOutbox(), versions: streamorigin.NewVersions()}
}

func (o *streamOrigins) begin(now time.Duration, key streamorigin.Key, origin streamorigin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(now, key, origin)
	o.outbox.Begin(key, origin)
}

func (o *streamOrigins) end(now time.Duration, key streamorigin.Key, complete bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outbox.End(now, key, complete)
}

// learn records origins that a peer has told.
func (o *streamOrigins) learn(now time.Duration, origin streamorigin.Origin, keys []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Note(now, origin)
	for _, key := range keys {
		o.table.Record(now, streamorigin.Key(key), origin)
	}
}

func (o *streamOrigins) find(key streamorigin.Key) (streamorigin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Find(key)
}

func (o *streamOrigins) sole(now time.Duration, service string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Sole(now, service)
}

func (o *streamOrigins) several(now time.Duration, service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Several(now, service)
}

// takeForPeers returns the streams to tell peers now, in a fleet of the given size. It returns
// only those of services with several software versions.
func (o *streamOrigins) takeForPeers(now time.Duration, fleetSize int) []*wire.BegunStreams {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := max(minOriginsPerUpdate, int(fleetOriginsPerSecond*min(now-o.toldAt, time.Second).Seconds()/float64(fleetSize)))
	o.toldAt = now
	several := map[string]bool{}
	for _, service := range o.versions.Services() {
		several[service] = o.versions.Several(now, service)
	}
	var out []*wire.BegunStreams
	for origin, keys := range o.outbox.Take(now, limit, func(service string) bool { return several[service] }) {
		told := &wire.BegunStreams{Service: origin.Service, Software: origin.Software}
		for _, key := range keys {
			told.Streams = append(told.Streams, uint64(key))
		}
		out = append(out, told)
	}
	return out
}

// noteTargets records the software versions of registrations, of which some may have been removed again
// by later events.
func (o *streamOrigins) noteTargets(now time.Duration, events []directory.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range events {
		if r := e.Registration; r != nil {
			o.versions.Note(now, streamorigin.Origin{Service: r.Service, Software: r.SoftwareVersion})
		}
	}
}

// updateVersions records the software versions of a service's targets, those that leave included.
func (o *streamOrigins) updateVersions(now time.Duration, service string, targets []directory.Registration) {
	present := map[string]bool{}
	for i := range targets {
		if t := &targets[i]; t.Service == service {
			present[t.SoftwareVersion] = true
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	before, known := o.versions.Tracked(service)
	o.versions.Update(now, service, present)
	if after, ok := o.versions.Tracked(service); ok && (!known || !slices.Equal(before.Present, after.Present)) {
		logline.Info("software_versions", "service", service, "versions", after.Present, "known_for", now-after.Since)
	}
}
