package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/configvalidity"
	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// newOutdatedGateway returns an instance with configuration version 1 whose last
// contact with the store has the given age. Its peer has the given version.
func newOutdatedGateway(contactAge time.Duration, peerVersion int64) *testGateway {
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "a")
	c := configWithRoutes(1, 3)
	p.table.Store(routing.NewTable(c))
	p.contacts = contactAt(p.clock.Now() - contactAge)
	p.configs.recordReport(peerVersion, "b")
	return p
}

// matchRequest matches a request to a route and returns the reason and status of a
// refusal.
func (p *testGateway) matchRequest(host, path string) (string, int) {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	refusal := p.matchRoute(&call{Request: &Request{Host: host, Path: path}, r: r})
	if refusal == nil {
		return "", 0
	}
	return refusal.Reason, refusal.Status
}

// Guards against requests that run under a replaced configuration on an instance that
// knows of a newer one, and against a 404 for routes that only the newer one has.
func TestOutdatedConfigIsRefusedAfterItsBound(t *testing.T) {
	const bound = 2 * time.Second // as in startTestGateway
	for name, c := range map[string]struct {
		contactAge  time.Duration
		peerVersion int64
		path        string
		reason      string
		status      int
	}{
		"current":                    {contactAge: bound, peerVersion: 1, path: "/p0/"},
		"outdated, within its bound": {contactAge: bound / 2, peerVersion: 2, path: "/p0/"},
		"outdated, beyond its bound": {contactAge: bound, peerVersion: 2, path: "/p0/", reason: "config_overdue", status: 503},
		"unknown route":              {contactAge: bound / 2, peerVersion: 1, path: "/new/", reason: "no_route", status: 404},
		"unknown route, outdated":    {contactAge: bound / 2, peerVersion: 2, path: "/new/", reason: "config_pending", status: 503},
		"unknown route, no contact":  {contactAge: 2 * bound, peerVersion: 1, path: "/new/", reason: "config_pending", status: 503},
		"known route, no contact":    {contactAge: 2 * bound, peerVersion: 1, path: "/p0/"},
		"peer with an older version": {contactAge: bound, peerVersion: 0, path: "/p0/"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reason, status := newOutdatedGateway(c.contactAge, c.peerVersion).matchRequest("host-0.example", c.path)
			is.Equal(reason, c.reason)
			is.Equal(status, c.status)
		})
	}
}

// Guards against instances that refuse callers for stale keys although they have the
// newest configuration: their peers' contact with the store counts for them too.
func TestPeerContactCountsOnceItsConfigIsActive(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "a")
	p.contacts = contactAt(p.clock.Now() - 5*time.Second)
	for _, a := range []wire.ExchangeResponse{{ConfigVersion: 2, StoreContactAgeMillis: 900}, {ConfigVersion: 3, StoreContactAgeMillis: 100}} {
		p.applyExchangeResponse(p.clock.Now(), wire.Identity{Instance: "b"}, 0, a)
	}
	is.True(p.contactAge() >= 5*time.Second)
	p.mu.Lock()
	p.activateConfig(p.prepareConfig(configWithRoutes(3, 4)), "b")
	p.mu.Unlock()
	is.True(p.contactAge() < 2*time.Second)
}

// Guards against requests that are refused under the limits of one configuration and
// logged with the version of another, which misleads whoever investigates.
func TestRequestIsAdmittedByActiveConfig(t *testing.T) {
	is := is.New(t)
	p := newOutdatedGateway(0, 1)
	limited := configWithRoutes(2, 3)
	limited.Accounts = []routing.Account{{Name: "acc", KeyHashes: []string{routing.HashKey("key")}, Rate: 1, Burst: 1}}
	c := &call{Request: &Request{Host: "host-0.example", Path: "/p0/", Key: "key"}, r: httptest.NewRequest(http.MethodGet, "/p0/", nil)}
	p.settings.KeyCutoff = time.Minute
	is.Equal(p.matchRoute(c), nil)
	is.Equal(p.authorize(c), nil)
	p.mu.Lock()
	p.activateConfig(p.prepareConfig(limited), "b") // while the body is read
	p.mu.Unlock()
	refusal := p.admitWithCurrentConfig(c)
	is.Equal(refusal.Reason, "over_rate") // its bucket starts empty
	is.Equal(c.table.Config().Version, int64(2))
}

// withPeers makes peers known, some of them with a fresh update. Their names start with
// their failure domain.
func (p *testGateway) withPeers(reporting, silent []string) *testGateway {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	now := p.clock.Now()
	for _, name := range slices.Concat(reporting, silent) {
		domain, _, _ := strings.Cut(name, "-")
		s := newPeerState(now, Announced{Announcement: Announcement{Instance: name, Domain: domain}})
		if slices.Contains(reporting, name) {
			s.updatedAt = now
		}
		p.peers.known[name] = s
	}
	return p
}

// Guards against an instance that hears neither the store nor its peers and goes on with a
// replaced configuration, since it knows of no newer one.
func TestInstanceThatHearsNothingStopsServing(t *testing.T) {
	const bound = 2 * time.Second // as in startTestGateway
	for name, c := range map[string]struct {
		contactAge        time.Duration
		reporting, silent []string
		status            int
	}{
		"within the bound":             {contactAge: bound / 2, silent: []string{"d1-b", "d2-c"}},
		"all peers silent":             {contactAge: bound, silent: []string{"d1-b", "d1-c", "d2-d", "d2-e"}, status: 503},
		"peers of its domain silent":   {contactAge: bound, reporting: []string{"d2-d"}, silent: []string{"d1-b", "d1-c", "d2-e"}, status: 503},
		"store silent, peers report":   {contactAge: bound, reporting: []string{"d1-b", "d1-c", "d2-d", "d2-e"}},
		"domain partitioned":           {contactAge: bound, reporting: []string{"d1-b", "d1-c"}, silent: []string{"d2-d", "d2-e", "d3-f", "d3-g"}},
		"half of its domain is lost":   {contactAge: bound, reporting: []string{"d1-c", "d1-d"}, silent: []string{"d1-b", "d1-e", "d2-d"}},
		"its only peer there was lost": {contactAge: bound, reporting: []string{"d2-d", "d2-e"}, silent: []string{"d1-b"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newOutdatedGateway(c.contactAge, 1).withPeers(c.reporting, c.silent)
			p.settings.KeyReadyAge = time.Minute
			_, status := p.matchRequest("host-0.example", "/p0/")
			is.Equal(status, c.status)
			is.Equal(p.isReady(), c.status == 0)
		})
	}
}

// Guards against an instance that hears nothing and serves again once it has removed its
// peers for their silence, as if it were the only one.
func TestRemovedPeersStillCountWithoutContact(t *testing.T) {
	is := is.New(t)
	p := newOutdatedGateway(2*time.Second, 1).withPeers(nil, []string{"d1-b", "d2-c"})
	p.peers.mu.Lock()
	p.peers.expirePeers(p.clock.Now() + 2*peerExpiry)
	is.Equal(len(p.peers.known), 0)
	p.peers.mu.Unlock()
	is.Equal(p.configVerdict(), configvalidity.Unconfirmed)
	p.contacts = contactAt(p.clock.Now())
	p.logConfigAge()
	p.contacts = contactAt(p.clock.Now() - 2*time.Second)
	p.fleetView.known = false
	is.Equal(p.configVerdict(), configvalidity.Valid) // removed before the contact was lost
}

// Guards against instances that refuse callers during an outage in which the store answers
// with errors, although no configuration can be replaced meanwhile.
func TestStoreThatRefusesKeepsConfigValid(t *testing.T) {
	is := is.New(t)
	p := newOutdatedGateway(2*time.Second, 1).withPeers(nil, []string{"d1-b", "d2-c"})
	scheduler := feedturn.New(feedturn.Settings{StalenessBound: 2 * time.Second})
	unreachable := false
	p.recordRead(t.Context(), scheduler, &unreachable, "operators", context.DeadlineExceeded)
	is.Equal(p.configVerdict(), configvalidity.Unconfirmed)
	p.recordRead(t.Context(), scheduler, &unreachable, "operators", errors.New("status 503"))
	is.Equal(p.configVerdict(), configvalidity.Valid)
}
