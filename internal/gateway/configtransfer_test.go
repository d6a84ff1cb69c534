package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

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
