package routing

import (
	"crypto/subtle"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/keys"
)

// Table is a configuration with indexes for lookups. It is immutable.
type Table struct {
	config       *Config
	routesByHost map[string][]*Route // by host, longest prefix first
	services     map[string]*Service
	accounts     map[string]*Account
	byKey        map[string]*Account // by the hash of the API key
	sharedScope  string
}

// NewTable indexes a configuration, which must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		config:       c,
		routesByHost: map[string][]*Route{},
		services:     map[string]*Service{},
		accounts:     map[string]*Account{},
		byKey:        map[string]*Account{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		t.addAccount(&c.Accounts[i])
	}
	t.sharedScope = sharedScope(c.Accounts)
	return t
}

// sharedScope returns the scope of cached pieces that all accounts share which are not isolated.
func sharedScope(accounts []Account) string {
	var isolated []string
	for i := range accounts {
		if accounts[i].Isolated {
			isolated = append(isolated, accounts[i].Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	h := xxhash.New()
	for _, name := range isolated {
		_, _ = h.WriteString(name)
		_, _ = h.Write([]byte{0})
	}
	return "shared/" + strconv.FormatUint(h.Sum64(), 16)
}

func (t *Table) addAccount(a *Account) {
	t.accounts[a.Name] = a
	for _, hash := range a.KeyHashes {
		t.byKey[hash] = a
	}
}

// Config returns the configuration on which the table is based.
func (t *Table) Config() *Config { return t.config }

// Match returns the route of a request: the one with the longest matching path prefix
// among the routes of the host. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// SharedCacheScope returns the scope of cached pieces of the accounts that are not isolated; empty if
// none is. It changes with the isolated accounts, so that pieces which one of these has made before
// are not used any more.
func (t *Table) SharedCacheScope() string { return t.sharedScope }

// Account returns the client account with the given name.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.accounts[name]
	return a, ok
}

// RequiresKey reports whether requests to the route must have an API key.
func (t *Table) RequiresKey(r *Route) bool {
	return (t.config.KeysRequired || len(t.accounts) > 0) && !r.Anonymous
}

// AccountByKeyHash returns the account that owns the API key with the given hash.
func (t *Table) AccountByKeyHash(hash string) (*Account, bool) {
	a, ok := t.byKey[hash]
	if !ok {
		return nil, false
	}
	// A caller cannot choose bytes of the hash, so the duration of the map lookup
	// reveals nothing about other keys; the comparison takes constant time.
	for _, h := range a.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return a, true
		}
	}
	return nil, false
}

// HashKey returns the hash of an API key for AccountByKeyHash.
func HashKey(key string) string { return keys.Hash(key) }

// ChooseService selects one of the route's services at random, by weight.
func (r *Route) ChooseService(rng *rand.Rand) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rng.IntN(total)
	for _, w := range r.Split {
		if n -= w.Weight; n < 0 {
			return w.Service
		}
	}
	return ""
}
