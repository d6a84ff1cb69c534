package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/streamorigin"
	"github.com/mastictray/mastictray/internal/wire"
)

// newTakeUpGateway returns an instance that has just started, with targets of the given software
// versions. They started a minute ago. The store has a record of the versions in recorded.
func newTakeUpGateway(t *testing.T, recorded, software []string) *testGateway {
	t.Helper()
	targets := make([]directory.Registration, len(software))
	for i, version := range software {
		targets[i] = targetsOnVersions(2, 2, 2)[i]
		targets[i].SoftwareVersion, targets[i].StartedMs = version, time.Now().Add(-time.Minute).UnixMilli()
	}
	store := &memoryStore{newest: 2, targets: targets}
	for _, version := range recorded {
		store.softwareRecord.Versions = append(store.softwareRecord.Versions, streamorigin.RecordedVersion{Service: "engines", Software: version})
	}
	p := startTestGateway(store, "a")
	p.settings.DrainBound = 2 * time.Second
	p.softwareRecordStep(t.Context())
	return p
}

// takeUp is what an instance decides on a request that takes up a stream.
func (p *testGateway) takeUp(t *testing.T, resumes, lastEvent string, split ...routing.WeightedService) (*call, string) {
	t.Helper()
	if len(split) == 0 {
		split = []routing.WeightedService{{Service: "engines", Weight: 1}}
	}
	c := &call{
		Request: &Request{ID: "later", Resumes: resumes, LastEventID: lastEvent}, table: p.table.Load(),
		route: &routing.Route{Kind: routing.Stream, Resumable: true, Split: split},
	}
	if refusal := p.chooseService(t.Context(), c); refusal != nil {
		return c, refusal.Reason
	}
	return c, ""
}

// Guards against instances that join a stream over versions because they don't know where it began:
// they have just started, have heard of no newer version, or their peers don't know either.
func TestTakenUpStreamNeedsItsOrigin(t *testing.T) {
	told := func(p *testGateway) {
		p.origins.learn(p.clock.Now(), streamorigin.Origin{Service: "engines", Software: "v1"}, []uint64{uint64(streamorigin.KeyOf("first"))})
	}
	nothing := func(*testGateway) {}
	for name, c := range map[string]struct {
		software, recorded []string
		prepare            func(*testGateway)
		resumes, lastEvent string
		reason, want       string
	}{
		"new stream":                         {software: []string{"v1", "v2"}, recorded: []string{"v1", "v2"}, prepare: nothing},
		"told by a peer":                     {software: []string{"v1", "v2"}, recorded: []string{"v1", "v2"}, prepare: told, resumes: "first", lastEvent: "3", want: "v1"},
		"told, its version is gone":          {software: []string{"v2"}, recorded: []string{"v2"}, prepare: told, resumes: "first", lastEvent: "3", want: "v1"},
		"several versions, unknown":          {software: []string{"v1", "v2"}, recorded: []string{"v1", "v2"}, prepare: nothing, resumes: "first", lastEvent: "3", reason: "stream_origin_unknown"},
		"one version for long":               {software: []string{"v1", "v1"}, recorded: []string{"v1", "v1"}, prepare: nothing, resumes: "first", lastEvent: "3", want: "v1"},
		"one version, caller doesn't say":    {software: []string{"v1", "v1"}, recorded: []string{"v1", "v1"}, prepare: nothing, lastEvent: "3", want: "v1"},
		"several, caller doesn't say":        {software: []string{"v1", "v2"}, recorded: []string{"v1", "v2"}, prepare: told, lastEvent: "3", reason: "stream_origin_unknown"},
		"one version, no record":             {software: []string{"v1", "v1"}, prepare: nothing, resumes: "first", lastEvent: "3", reason: "stream_origin_unknown"},
		"one version, another had targets":   {software: []string{"v2", "v2"}, recorded: []string{"v1", "v2"}, prepare: nothing, resumes: "first", lastEvent: "3", reason: "stream_origin_unknown"},
		"one version, a peer told of others": {software: []string{"v2", "v2"}, recorded: []string{"v2", "v2"}, prepare: told, resumes: "second", lastEvent: "3", reason: "stream_origin_unknown"},
		"one version, hears nothing": {software: []string{"v1", "v1"}, recorded: []string{"v1", "v1"}, prepare: func(p *testGateway) {
			p.registrations.knownUpTo -= 2 * time.Second
			p.withPeers(nil, []string{"d1-b", "d2-c"})
		}, resumes: "first", lastEvent: "3", reason: "stream_origin_unknown"},
		"one version, outage of the store": {software: []string{"v1", "v1"}, recorded: []string{"v1", "v1"}, prepare: func(p *testGateway) {
			p.registrations.knownUpTo -= 2 * time.Second
			p.withPeers([]string{"d1-b", "d2-c"}, nil)
		}, resumes: "first", lastEvent: "3", want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newTakeUpGateway(t, c.recorded, c.software)
			c.prepare(p)
			call, reason := p.takeUp(t, c.resumes, c.lastEvent)
			is.Equal(reason, c.reason)
			is.Equal(call.stream.Software, c.want)
			is.Equal(call.stream.known, c.want != "")
		})
	}
}

// Guards against an instance that has no configuration yet and replaces the record of versions by an
// empty one.
func TestRecordOfVersionsWaitsForTheConfiguration(t *testing.T) {
	is := is.New(t)
	p := newTakeUpGateway(t, nil, []string{"v2", "v2"})
	store := p.store
	store.softwareRecord = streamorigin.Record{NextOffset: 1, Versions: []streamorigin.RecordedVersion{{Service: "engines", Software: "v1"}}}
	p.softwareRecord, p.origins = softwareRecord{}, newStreamOrigins()
	table := p.table.Swap(nil)
	p.softwareRecordStep(t.Context())
	is.Equal(len(store.softwareRecord.Versions), 1)
	p.table.Store(table)
	p.updateServiceTargets()
	p.softwareRecordStep(t.Context())
	_, reason := p.takeUp(t, "first", "3")
	is.Equal(reason, "stream_origin_unknown")
}

// Guards against an instance that takes a version for the only one although another had a target
// between two reads of the registrations.
func TestVersionBetweenTwoReadsCounts(t *testing.T) {
	is := is.New(t)
	p := newTakeUpGateway(t, []string{"v1"}, []string{"v1", "v1"})
	_, reason := p.takeUp(t, "first", "3")
	is.Equal(reason, "")
	short := targetsOnVersions(2, 2, 2)[2]
	short.SoftwareVersion = "v2"
	from := p.registrations.nextOffset
	p.applyRegistrations(p.clock.Now(), from, from+2, []directory.Event{{ID: short.ID, Registration: &short}, {ID: short.ID}}, false)
	_, reason = p.takeUp(t, "second", "3")
	is.Equal(reason, "stream_origin_unknown")
}

// Guards against streams that go on at another service of a split route.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	is := is.New(t)
	p := newTakeUpGateway(t, []string{"v1"}, []string{"v1", "v1"})
	p.origins.learn(p.clock.Now(), streamorigin.Origin{Service: "engines", Software: "v1"}, []uint64{uint64(streamorigin.KeyOf("first"))})
	split := []routing.WeightedService{{Service: "others", Weight: 1000}, {Service: "engines", Weight: 1}}
	for range 20 {
		c, reason := p.takeUp(t, "first", "3", split...)
		is.Equal(reason, "")
		is.Equal(c.service.Name, "engines")
	}
	_, reason := p.takeUp(t, "first", "3", split[0])
	is.Equal(reason, "stream_service_changed")
	_, reason = p.takeUp(t, "second", "3", split...)
	is.Equal(reason, "stream_origin_unknown") // it may have begun at either service
}

// Guards against peers that hear of no origin while two versions serve, and against telling all
// streams of a large fleet.
func TestOriginsAreToldWhileSeveralVersionsServe(t *testing.T) {
	is := is.New(t)
	p := newTakeUpGateway(t, []string{"v1"}, []string{"v1", "v1"})
	origin := streamorigin.Origin{Service: "engines", Software: "v1"}
	for i := range 1000 {
		p.origins.begin(p.clock.Now(), streamorigin.Key(i+1), origin)
	}
	p.origins.end(p.clock.Now(), 7, false)
	is.Equal(len(p.origins.takeForPeers(p.clock.Now()+time.Second, 4)), 0)
	p.origins.learn(p.clock.Now(), streamorigin.Origin{Service: "engines", Software: "v2"}, nil)
	told := p.origins.takeForPeers(p.clock.Now()+2*time.Second, 2400)
	is.Equal(len(told), 1)
	is.Equal(len(told[0].Streams), minOriginsPerUpdate)
	is.Equal(told[0].Streams[0], uint64(7)) // the broken one first
	told = p.origins.takeForPeers(p.clock.Now()+3*time.Second, 4)
	is.Equal(len(told[0].Streams), fleetOriginsPerSecond/4)
}

// Guards against the word of a peer that has not heard of a newer version yet.
func TestSoleVersionNeedsAllPeers(t *testing.T) {
	is := is.New(t)
	asked := func(n int) *askedPeers { return &askedPeers{pending: n} }
	sole := func(software string) originAnswer {
		return originAnswer{StreamOriginResponse: wire.StreamOriginResponse{Sole: true, Service: "engines", Software: software}}
	}
	known := originAnswer{StreamOriginResponse: wire.StreamOriginResponse{Known: true, Service: "engines", Software: "v2"}}
	a := asked(3)
	_, ok := a.add(sole("v1"))
	is.True(!ok)
	origin, ok := a.add(known)
	is.True(ok)
	is.Equal(origin.Software, "v2")

	a = asked(3)
	a.add(sole("v1"))
	a.add(originAnswer{}) // no answer
	origin, ok = a.add(sole("v1"))
	is.True(ok)
	is.Equal(origin.Software, "v1")

	a = asked(2)
	a.add(sole("v1"))
	_, ok = a.add(sole("v2"))
	is.True(!ok)

	several := originAnswer{StreamOriginResponse: wire.StreamOriginResponse{Several: true}}
	for _, answers := range [][]originAnswer{{several, sole("v1")}, {sole("v1"), several}} {
		a = asked(2)
		a.add(answers[0])
		_, ok = a.add(answers[1])
		is.True(!ok)
	}
}

// Guards against connections to sound peers that are dropped because a stream's origin was found
// before all of them had answered.
func TestCallsForOriginsOutlastTheirRequest(t *testing.T) {
	is := is.New(t)
	other := startPeers(t, "other", configWithRoutes(1, 3))
	asking := startPeers(t, "asking", configWithRoutes(1, 3), Announced{Announcement: Announcement{
		Instance: "other", Incarnation: other.self.Incarnation, Address: other.self.Address, Domain: "d1",
	}, Revision: 1})
	for end := time.Now().Add(configWaitTimeout); len(asking.peers.originSources()) == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	other.origins.begin(other.clock.Now(), streamorigin.KeyOf("first"), streamorigin.Origin{Service: "engines", Software: "v1"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	asked := asking.askForOrigin(ctx, &call{Request: &Request{ID: "later", Resumes: "first"}, route: &routing.Route{}}, "engines")
	answer := <-asked.answers
	is.True(answer.Known)
	is.Equal(answer.Software, "v1")
}
