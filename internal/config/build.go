package config

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
)

// reservedPaths belong to the entry process itself.
var reservedPaths = []string{"/v1/models", "/livez", "/readyz", "/metrics", "/admin"}

// Build checks a whole set of files, by name, and gives the intent. The
// error is Problems: every fault of every file at once.
func Build(files map[string][]byte) (*Intent, error) {
	fragments := map[string]*fragment{}
	var ps Problems
	for name, contents := range files {
		f, problems := parseFile(name, contents)
		ps = append(ps, problems...)
		if f != nil {
			fragments[name] = f
		}
	}
	if len(ps) == 0 {
		intent, problems := merge(fragments, nil)
		if len(problems) == 0 {
			return intent, nil
		}
		ps = problems
	}
	return nil, locateAll(ps, files)
}

// locateAll fills in lines over several files.
func locateAll(ps Problems, files map[string][]byte) Problems {
	indexes := map[string]lineIndex{}
	for i, p := range ps {
		contents, ok := files[p.File]
		if !ok || p.Line > 0 {
			continue
		}
		if _, done := indexes[p.File]; !done {
			indexes[p.File], _ = scan(p.File, contents)
		}
		ps[i].Line = indexes[p.File].line(p.Section, p.Key)
	}
	sort.SliceStable(ps, func(i, j int) bool { return less(ps[i], ps[j]) })
	return ps
}

// merger joins fragments and checks what they say about each other.
type merger struct {
	intent   *Intent
	problems Problems
	// titles remembers where each section was seen first.
	titles map[string]string
	// keyIDs, addresses and paths say which section has a value already.
	keyIDs, addresses map[string]string
	paths             map[pathOf]string
	pathKinds         map[string]PoolKind
	poolSizes         map[string]int
}

// merge joins the fragments with the keys that records created.
func merge(fragments map[string]*fragment, created []Key) (*Intent, Problems) {
	m := &merger{
		intent: newIntent(),
		titles: map[string]string{}, keyIDs: map[string]string{},
		addresses: map[string]string{}, paths: map[pathOf]string{}, pathKinds: map[string]PoolKind{}, poolSizes: map[string]int{},
	}
	names := make([]string, 0, len(fragments))
	for name := range fragments {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		m.collect(fragments[name])
	}
	for _, k := range created {
		m.createdKey(k)
	}
	for _, name := range names {
		m.check(fragments[name])
	}
	return m.intent, m.problems
}

func newIntent() *Intent {
	return &Intent{
		Revision: NoRevision,
		Accounts: map[string]Account{}, Keys: map[string]Key{}, Models: map[string]Model{},
		Pools: map[string]Pool{}, Targets: map[string]Target{}, Routes: map[string]Route{},
	}
}

func (m *merger) problem(file, title, key, expected, got string) {
	m.problems = append(m.problems, Problem{File: file, Section: title, Key: key, Expected: expected, Got: got})
}

// first reports a section that another file has too.
func (m *merger) first(file, title string) bool {
	if other, twice := m.titles[title]; twice {
		m.problem(file, title, "", "each section once, but "+other+" has it too", "")
		return false
	}
	m.titles[title] = file
	return true
}

// pathOf is what requests are routed by.
type pathOf struct{ path, model string }

// unique reports a value that another section has taken.
func (m *merger) unique(taken map[string]string, value, file, title, key string) {
	if other, twice := taken[value]; twice {
		m.problem(file, title, key, "a value of its own, but ["+other+"] has it", value)
		return
	}
	taken[value] = title
}

func (m *merger) collect(f *fragment) {
	for _, a := range f.accounts {
		if m.first(a.file, a.title) {
			m.intent.Accounts[a.value.Name] = a.value
		}
	}
	for _, v := range f.models {
		if m.first(v.file, v.title) {
			m.intent.Models[v.value.Name] = v.value
		}
	}
	for _, p := range f.pools {
		if m.first(p.file, p.title) {
			m.intent.Pools[p.value.Name] = p.value
		}
	}
	for _, t := range f.targets {
		if m.first(t.file, t.title) {
			m.intent.Targets[t.value.Name] = t.value
			m.poolSizes[t.value.Pool]++
		}
	}
	for _, r := range f.routes {
		if m.first(r.file, r.title) {
			m.intent.Routes[r.value.Name] = r.value
		}
	}
	for _, k := range f.keys {
		m.collectKey(k)
	}
}

func (m *merger) collectKey(k placed[Key]) {
	m.unique(m.keyIDs, k.value.ID, k.file, k.title, "")
	if other, twice := m.intent.Keys[k.value.SHA256]; twice {
		m.problem(k.file, k.title, "sha256", "a hash of its own, but key "+other.ID+" has it", "")
		return
	}
	m.intent.Keys[k.value.SHA256] = k.value
}

// createdKey adds a key that an operator created by a record.
func (m *merger) createdKey(k Key) {
	title := "key " + k.ID + ", created by record"
	if other, twice := m.keyIDs[k.ID]; twice {
		m.problem(RecordsFile, title, "", "a key id that no file has, but ["+other+"] has it", "")
	}
	if _, twice := m.intent.Keys[k.SHA256]; twice {
		m.problem(RecordsFile, title, "sha256", "a hash that no file has", "")
	}
	if _, ok := m.intent.Accounts[k.Account]; !ok {
		m.problem(RecordsFile, title, "account", "a known account; withdraw the key before its account goes", k.Account)
	}
	m.keyIDs[k.ID] = title
	m.intent.Keys[k.SHA256] = k
}

func (m *merger) check(f *fragment) {
	for _, k := range f.keys {
		if _, ok := m.intent.Accounts[k.value.Account]; !ok {
			m.problem(k.file, k.title, "account", "a known account", k.value.Account)
		}
	}
	for _, p := range f.pools {
		m.checkPool(p)
	}
	for _, t := range f.targets {
		m.checkTarget(t)
	}
	for _, r := range f.routes {
		m.checkRoute(r)
	}
}

func (m *merger) checkPool(p placed[Pool]) {
	if p.value.Kind != KindEngine {
		return
	}
	if _, ok := m.intent.Models[p.value.Model]; !ok {
		m.problem(p.file, p.title, "model", "a known model", p.value.Model)
	}
	// Requests count on one version at a time. In the middle of a rollout the
	// larger part of the pool has half of the targets: a floor above that
	// could not be kept, and the rollout would wait forever.
	if n := m.poolSizes[p.value.Name]; p.value.ServingFloor > n/2 {
		m.problem(p.file, p.title, "serving-floor",
			fmt.Sprintf("at most half of the pool's %d targets", n), fmt.Sprint(p.value.ServingFloor))
	}
}

func (m *merger) checkTarget(t placed[Target]) {
	address, err := netip.ParseAddrPort(t.value.Address)
	if err != nil || address.Port() == 0 {
		m.problem(t.file, t.title, "address", addressExpectedInSection, t.value.Address)
	}
	m.unique(m.addresses, t.value.Address, t.file, t.title, "address")
	if _, ok := m.intent.Pools[t.value.Pool]; !ok {
		m.problem(t.file, t.title, "pool", "a known pool", t.value.Pool)
	}
}

// checkPath lets engine routes share a path when their pools serve different
// models, since the request names the model. Any other route has its path to
// itself.
func (m *merger) checkPath(r placed[Route]) {
	pool := m.intent.Pools[r.value.Pool]
	if kind, seen := m.pathKinds[r.value.Path]; seen && kind != pool.Kind {
		m.problem(r.file, r.title, "path", "a path of pools of one kind", r.value.Path)
	}
	m.pathKinds[r.value.Path] = pool.Kind
	of := pathOf{path: r.value.Path, model: pool.Model}
	if other, twice := m.paths[of]; twice {
		m.problem(r.file, r.title, "path", "a path and model of its own, but ["+other+"] has them", r.value.Path)
		return
	}
	m.paths[of] = r.title
}

func (m *merger) checkRoute(r placed[Route]) {
	m.checkPath(r)
	for _, reserved := range reservedPaths {
		if r.value.Path == reserved || strings.HasPrefix(r.value.Path, reserved+"/") {
			m.problem(r.file, r.title, "path", "a path that the entry process does not use itself", r.value.Path)
		}
	}
	if _, ok := m.intent.Pools[r.value.Pool]; !ok {
		m.problem(r.file, r.title, "pool", "a known pool", r.value.Pool)
	}
}
