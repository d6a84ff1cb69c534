package routing

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func testTable() *Table {
	return NewTable(&Config{
		Version: 1,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Split: []WeightedService{{"s1", 3}, {"s2", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Anonymous: true},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Services: []Service{{Name: "s1"}},
		Accounts: []Account{{Name: "acc", KeyHashes: []string{HashKey("k1"), HashKey("k2")}}},
	})
}

func TestMatchSelectsLongestPrefixOfHost(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"short":          {"a.example", "/x/1", "short"},
		"long":           {"a.example", "/x/y/1", "long"},
		"with a port":    {"a.example:80", "/x/1", "short"},
		"whole segments": {"a.example", "/xy/1", ""},
		"other host":     {"b.example", "/x/1", "other"},
		"unknown host":   {"c.example", "/x/1", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := testTable().Match(c.host, c.path)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(r.Name, c.want)
			}
		})
	}
}

func TestKeysAndLookups(t *testing.T) {
	is := is.New(t)
	table := testTable()
	a, ok := table.AccountByKeyHash(HashKey("k2"))
	is.True(ok)
	is.Equal(a.Name, "acc")
	_, ok = table.AccountByKeyHash(HashKey("k3"))
	is.True(!ok)
	short, _ := table.Match("a.example", "/x/1")
	long, _ := table.Match("a.example", "/x/y/1")
	is.True(table.RequiresKey(short))
	is.True(!table.RequiresKey(long))
	_, ok = table.Service("s1")
	is.True(ok)
	_, ok = table.Account("acc")
	is.True(ok)
}

func TestChooseServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r, _ := testTable().Match("a.example", "/x/1")
	rng := rand.New(rand.NewPCG(1, 1))
	n := map[string]int{}
	for range 4000 {
		n[r.ChooseService(rng)]++
	}
	is.True(n["s1"] > 2900 && n["s1"] < 3100)
	is.Equal(n["s1"]+n["s2"], 4000)
	is.Equal((&Route{}).ChooseService(rng), "")
}

func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Repeatable())
	is.True(!(&Route{Kind: NonIdempotent}).Repeatable())
	is.True(!(&Route{Kind: Stream}).Repeatable())
	is.True((&Route{Kind: Stream, Resumable: true}).Repeatable())
}

// Guards against cached pieces that an account has made while it shared them, and that others use
// after it has been isolated.
func TestSharedCacheScopeChangesWithTheIsolatedAccounts(t *testing.T) {
	is := is.New(t)
	scopeOf := func(accounts ...Account) string { return NewTable(&Config{Accounts: accounts}).SharedCacheScope() }
	a, b := Account{Name: "a"}, Account{Name: "b"}
	isolatedA, isolatedB := Account{Name: "a", Isolated: true}, Account{Name: "b", Isolated: true}
	scopes := []string{scopeOf(a, b), scopeOf(isolatedA, b), scopeOf(a, isolatedB), scopeOf(isolatedA, isolatedB)}
	for i, scope := range scopes {
		is.True(!slices.Contains(scopes[:i], scope))
	}
	is.Equal(scopes[0], "")
	is.Equal(scopeOf(isolatedB, isolatedA), scopes[3]) // the order of the list doesn't matter
	is.True(scopeOf(Account{Name: "ab", Isolated: true}, Account{Name: "c", Isolated: true}) != scopeOf(Account{Name: "a", Isolated: true}, Account{Name: "bc", Isolated: true}))
}
