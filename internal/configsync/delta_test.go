package configsync

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
	"github.com/mastictray/mastictray/internal/routing"
)

func TestMain(m *testing.M) { propertytest.Main(m, 200) }

// testRoute returns a route whose strings compress badly together with those of other
// routes.
func testRoute(i int) routing.Route {
	return routing.Route{
		Name: fmt.Sprintf("route-%05d-%x", i, i*i*2654435761), Host: fmt.Sprintf("host-%d.example", i%20), Prefix: fmt.Sprintf("/p%x/", i*i*40503),
		Kind: routing.Idempotent, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2,
		Split: []routing.WeightedService{{Service: "desk", Weight: 1}},
	}
}

func testConfig(version int64, routes int) *routing.Config {
	c := &routing.Config{
		Version: version, Limits: routing.Limits{MaxHeaderBytes: 8192},
		Services: []routing.Service{{Name: "desk"}, {Name: "engines", Engine: &routing.Engine{Slots: 8, Models: []string{"m"}}}},
		Accounts: []routing.Account{{Name: "a", KeyHashes: []string{"1", "2"}, Rate: 3}, {Name: "b", Priority: 1, HasPriority: true}},
	}
	for i := range routes {
		c.Routes = append(c.Routes, testRoute(i))
	}
	return c
}

func snapshotOf(t testing.TB, c *routing.Config) *Snapshot {
	t.Helper()
	s, err := NewSnapshot(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := testConfig(1, rapid.IntRange(0, 30).Draw(rt, "routes"))
		next := *base
		next.Version = 2
		next.Routes = slices.Clone(base.Routes)
		for range rapid.IntRange(0, 6).Draw(rt, "edits") {
			editRoutes(rt, &next)
		}
		if rapid.Bool().Draw(rt, "accounts") {
			next.Accounts = next.Accounts[:1]
		}
		if rapid.Bool().Draw(rt, "no accounts") {
			next.Accounts, next.KeysRequired = nil, rapid.Bool().Draw(rt, "keys required")
		}
		from, to := snapshotOf(t, base), snapshotOf(t, &next)
		for name, have := range map[string]*Snapshot{"delta": from, "complete": nil} {
			encodeBase := have
			if encodeBase == nil {
				encodeBase = emptySnapshot
			}
			raw, err := encodeDelta(encodeBase, to)
			if err != nil {
				rt.Fatal(name, err)
			}
			got, err := Apply(have, raw)
			if err != nil {
				rt.Fatal(name, err)
			}
			is.New(t).Equal(got.Config, to.Config)
			is.New(t).Equal(got.Ref, to.Ref)
			is.New(t).True(slices.Equal(got.routes, to.routes))
		}
	})
}

// editRoutes removes, moves, changes, duplicates or adds a route.
func editRoutes(rt *rapid.T, c *routing.Config) {
	n := len(c.Routes)
	at := rapid.IntRange(0, n).Draw(rt, "at")
	kind := rapid.SampledFrom([]string{"add", "remove", "move", "change", "repeat"}).Draw(rt, "edit")
	switch {
	case kind == "add" || at == n:
		c.Routes = slices.Insert(c.Routes, at, testRoute(100+rapid.IntRange(0, 50).Draw(rt, "new")))
	case kind == "remove":
		c.Routes = slices.Delete(c.Routes, at, at+1)
	case kind == "move":
		r := c.Routes[at]
		c.Routes = append(slices.Delete(c.Routes, at, at+1), r)
	case kind == "change":
		c.Routes[at].Timeout += time.Second
	case kind == "repeat":
		c.Routes = slices.Insert(c.Routes, at, c.Routes[rapid.IntRange(0, n-1).Draw(rt, "of")])
	}
}

// Guards against applying a delta to a base of the same version with different
// content.
func TestDeltaIsRejectedOnAnotherBase(t *testing.T) {
	is := is.New(t)
	base, next := snapshotOf(t, testConfig(1, 10)), snapshotOf(t, testConfig(2, 11))
	raw, err := encodeDelta(base, next)
	is.NoErr(err)
	_, err = Apply(nil, raw)
	is.True(errors.Is(err, ErrBaseMismatch))
	_, err = Apply(snapshotOf(t, testConfig(1, 9)), raw)
	is.True(errors.Is(err, ErrBaseMismatch))
	_, err = Apply(base, raw[:len(raw)-3])
	is.True(err != nil)
	other := *base
	other.routes = slices.Clone(base.routes)
	other.routes[3]++ // its reference does not match its items
	_, err = Apply(&other, raw)
	is.True(errors.Is(err, ErrDigestMismatch))
}

// Guards against deltas whose size depends on that of the configuration.
func TestDeltaSizeDependsOnChange(t *testing.T) {
	is := is.New(t)
	before := testConfig(1, 3000)
	after := testConfig(2, 3001)
	after.Routes[1500].Timeout++
	raw, err := encodeDelta(snapshotOf(t, before), snapshotOf(t, after))
	is.NoErr(err)
	is.True(len(raw) < 1000)
}
