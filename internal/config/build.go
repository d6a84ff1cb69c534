package config

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
)

// reservedPaths are served by the entry process itself and cannot be routed.
var reservedPaths = []string{"/v1/models", "/livez", "/readyz", "/metrics", "/admin"}

// Build validates a set of files, keyed by name, and returns the configuration
// that they define. The error is of type Problems and covers all files.
func Build(files map[string][]byte) (*Intent, error) {
	parsedFiles := map[string]*parsedFile{}
	var ps Problems
	for name, contents := range files {
		f, problems := parseFile(name, contents)
		ps = append(ps, problems...)
		if f != nil {
			parsedFiles[name] = f
		}
	}
	if len(ps) == 0 {
		intent, problems := merge(parsedFiles, nil)
		if len(problems) == 0 {
			return intent, nil
		}
		ps = problems
	}
	return nil, setLinesAcross(ps, files)
}

// setLinesAcross sets the line numbers of the problems of several files and
// sorts them.
func setLinesAcross(ps Problems, files map[string][]byte) Problems {
	indexes := map[string]lineIndex{}
	for i, p := range ps {
		contents, ok := files[p.File]
		if !ok || p.Line > 0 {
			continue
		}
		if _, done := indexes[p.File]; !done {
			indexes[p.File], _ = indexLines(p.File, contents)
		}
		ps[i].Line = indexes[p.File].line(p.Section, p.Key)
	}
	sort.SliceStable(ps, func(i, j int) bool { return problemLess(ps[i], ps[j]) })
	return ps
}

// merger combines parsed files and checks references and uniqueness across
// them.
type merger struct {
	intent   *Intent
	problems Problems
	// sectionFiles maps each section to the first file that has it.
	sectionFiles map[string]string
	// keyIDs, addresses and paths map a value to the section that uses it.
	keyIDs, addresses map[string]string
	paths             map[routeKey]string
	pathKinds         map[string]PoolKind
	poolSizes         map[string]int
}

// merge combines the parsed files with the keys that log records created.
func merge(parsedFiles map[string]*parsedFile, created []Key) (*Intent, Problems) {
	m := &merger{
		intent:       newIntent(),
		sectionFiles: map[string]string{}, keyIDs: map[string]string{},
		addresses: map[string]string{}, paths: map[routeKey]string{}, pathKinds: map[string]PoolKind{}, poolSizes: map[string]int{},
	}
	names := make([]string, 0, len(parsedFiles))
	for name := range parsedFiles {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		m.addFile(parsedFiles[name])
	}
	for _, k := range created {
		m.addCreatedKey(k)
	}
	for _, name := range names {
		m.checkReferences(parsedFiles[name])
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

// registerSection reports a section that another file already has.
func (m *merger) registerSection(file, title string) bool {
	if other, duplicate := m.sectionFiles[title]; duplicate {
		m.problem(file, title, "", "each section once, but "+other+" has it too", "")
		return false
	}
	m.sectionFiles[title] = file
	return true
}

// routeKey is the path and model by which requests are matched to a route.
type routeKey struct{ path, model string }

// checkUnique reports a value that another section already uses.
func (m *merger) checkUnique(taken map[string]string, value, file, title, key string) {
	if other, duplicate := taken[value]; duplicate {
		m.problem(file, title, key, "a value of its own, but ["+other+"] has it", value)
		return
	}
	taken[value] = title
}

func (m *merger) addFile(f *parsedFile) {
	for _, a := range f.accounts {
		if m.registerSection(a.file, a.title) {
			m.intent.Accounts[a.value.Name] = a.value
		}
	}
	for _, v := range f.models {
		if m.registerSection(v.file, v.title) {
			m.intent.Models[v.value.Name] = v.value
		}
	}
	for _, p := range f.pools {
		if m.registerSection(p.file, p.title) {
			m.intent.Pools[p.value.Name] = p.value
		}
	}
	for _, t := range f.targets {
		if m.registerSection(t.file, t.title) {
			m.intent.Targets[t.value.Name] = t.value
			m.poolSizes[t.value.Pool]++
		}
	}
	for _, r := range f.routes {
		if m.registerSection(r.file, r.title) {
			m.intent.Routes[r.value.Name] = r.value
		}
	}
	for _, k := range f.keys {
		m.addKey(k)
	}
}

func (m *merger) addKey(k located[Key]) {
	m.checkUnique(m.keyIDs, k.value.ID, k.file, k.title, "")
	if other, duplicate := m.intent.Keys[k.value.SHA256]; duplicate {
		m.problem(k.file, k.title, "sha256", "a hash of its own, but key "+other.ID+" has it", "")
		return
	}
	m.intent.Keys[k.value.SHA256] = k.value
}

// addCreatedKey adds a key that a log record created.
func (m *merger) addCreatedKey(k Key) {
	title := "key " + k.ID + ", created by record"
	if other, duplicate := m.keyIDs[k.ID]; duplicate {
		m.problem(RecordsFile, title, "", "a key id that no file has, but ["+other+"] has it", "")
	}
	if _, duplicate := m.intent.Keys[k.SHA256]; duplicate {
		m.problem(RecordsFile, title, "sha256", "a hash that no file has", "")
	}
	if _, ok := m.intent.Accounts[k.Account]; !ok {
		m.problem(RecordsFile, title, "account", "a known account; withdraw the key before its account goes", k.Account)
	}
	m.keyIDs[k.ID] = title
	m.intent.Keys[k.SHA256] = k
}

func (m *merger) checkReferences(f *parsedFile) {
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

func (m *merger) checkPool(p located[Pool]) {
	if p.value.Kind != KindEngine {
		return
	}
	if _, ok := m.intent.Models[p.value.Model]; !ok {
		m.problem(p.file, p.title, "model", "a known model", p.value.Model)
	}
	// The floor counts targets that serve the same weights version. Midway
	// through a rollout the larger group has only half of the targets: a higher
	// floor could not be met, and the rollout would never finish.
	if n := m.poolSizes[p.value.Name]; p.value.ServingFloor > n/2 {
		m.problem(p.file, p.title, "serving-floor",
			fmt.Sprintf("at most half of the pool's %d targets", n), fmt.Sprint(p.value.ServingFloor))
	}
}

func (m *merger) checkTarget(t located[Target]) {
	address, err := netip.ParseAddrPort(t.value.Address)
	if err != nil || address.Port() == 0 {
		m.problem(t.file, t.title, "address", addressExpected, t.value.Address)
	}
	m.checkUnique(m.addresses, t.value.Address, t.file, t.title, "address")
	if _, ok := m.intent.Pools[t.value.Pool]; !ok {
		m.problem(t.file, t.title, "pool", "a known pool", t.value.Pool)
	}
}

// checkPath allows engine routes to share a path if their pools serve different
// models, since the request names the model. Any other route needs a path of
// its own.
func (m *merger) checkPath(r located[Route]) {
	pool := m.intent.Pools[r.value.Pool]
	if kind, seen := m.pathKinds[r.value.Path]; seen && kind != pool.Kind {
		m.problem(r.file, r.title, "path", "a path of pools of one kind", r.value.Path)
	}
	m.pathKinds[r.value.Path] = pool.Kind
	key := routeKey{path: r.value.Path, model: pool.Model}
	if other, duplicate := m.paths[key]; duplicate {
		m.problem(r.file, r.title, "path", "a path and model of its own, but ["+other+"] has them", r.value.Path)
		return
	}
	m.paths[key] = r.title
}

func (m *merger) checkRoute(r located[Route]) {
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
