package routing

import (
	"crypto/subtle"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/mastictray/mastictray/internal/keys"
)

// Table is a configuration indexed for lookups. It is immutable.
type Table struct {
	config   *Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	accounts map[string]*Account
	byKey    map[string]*Account // by the key's hash
}

// NewTable indexes a configuration, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		config:   c,
		hosts:    map[string][]*Route{},
		services: map[string]*Service{},
		accounts: map[string]*Account{},
		byKey:    map[string]*Account{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		t.addAccount(&c.Accounts[i])
	}
	return t
}

func (t *Table) addAccount(a *Account) {
	t.accounts[a.Name] = a
	for _, hash := range a.KeyHashes {
		t.byKey[hash] = a
	}
}

// Config is the configuration that the table was made of.
func (t *Table) Config() *Config { return t.config }

// Match finds the route of a request: of its host's routes the one with the
// longest prefix of the path. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service finds a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Account finds a client account by its name.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.accounts[name]
	return a, ok
}

// RequiresKey says whether requests of the route must bear a key.
func (t *Table) RequiresKey(r *Route) bool {
	return len(t.accounts) > 0 && !r.Anonymous
}

// AccountByKeyHash finds the account that holds a key, by the key's hash.
func (t *Table) AccountByKeyHash(hash string) (*Account, bool) {
	a, ok := t.byKey[hash]
	if !ok {
		return nil, false
	}
	// A caller cannot choose bytes of the hash, so the time of the lookup
	// tells nothing of other keys; the match itself takes constant time.
	for _, h := range a.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return a, true
		}
	}
	return nil, false
}

// HashKey is the hash that KeyHolder takes.
func HashKey(key string) string { return keys.Hash(key) }

// ChooseService draws one of the route's services by weight.
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
