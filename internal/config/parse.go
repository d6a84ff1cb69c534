package config

import (
	"fmt"
	"regexp"
	"sort"
	"time"

	"gopkg.in/ini.v1"
)

// MaxFileBytes bounds one file; a change has to fit into one log record.
const MaxFileBytes = 192 << 10

// Defaults of keys that a section may leave out.
const (
	DefaultWeight                 = 1
	DefaultKeyCutoff              = 10 * time.Minute
	DefaultPieceBytes             = 16384
	DefaultBytesPerToken          = 4
	DefaultMaxOutputTokens        = 512
	DefaultPrefillTokensPerSecond = 8000
	DefaultMaxConcurrent          = 32
	DefaultMaxLoads               = 1
	DefaultPriority               = 5
	DefaultDeadline               = 30 * time.Second
	DefaultCostTokens             = 1
	maxPieceBytes                 = 1 << 20
	maxOutputTokens               = 1 << 20
	maxConcurrentRequests         = 1 << 16
	maxTargets                    = 1 << 16
	highestPriority               = 9
	noChildSections               = "\x00"
	fileNameExpected              = "a file name such as reports/accounts.ini"
	hashExpected                  = "64 hex digits in lower case (mastictray keys create prints them)"
	sectionKindsExpected          = `a section of account, key, model, pool, target or route`
	maxFileNameLength             = 200
	pathExpected                  = "a path that starts with '/', without '?', '#' or spaces"
	deadlineLowest                = time.Millisecond
	// keyCutoffLowest is above the time between two reads of the log, or
	// keys would be refused with every link up.
	keyCutoffLowest          = 15 * time.Second
	addressExpectedInSection = "ip:port"
)

var (
	fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*\.ini$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern     = regexp.MustCompile(`^/[^\s?#]*$`)
	anyPattern      = regexp.MustCompile(`^\S+$`)
)

// placed is a value with the place that it was read from.
type placed[T any] struct {
	value T
	file  string
	title string
}

// fragment is what one file says.
type fragment struct {
	accounts []placed[Account]
	keys     []placed[Key]
	models   []placed[Model]
	pools    []placed[Pool]
	targets  []placed[Target]
	routes   []placed[Route]
}

// ParseFile checks one file by itself. References to other sections are
// checked by Build, over the whole set.
func ParseFile(name string, contents []byte) error {
	_, ps := parseFile(name, contents)
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func parseFile(name string, contents []byte) (*fragment, Problems) {
	if !fileNamePattern.MatchString(name) || len(name) > maxFileNameLength {
		return nil, Problems{{File: name, Expected: fileNameExpected}}
	}
	if len(contents) > MaxFileBytes {
		return nil, Problems{{File: name, Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes)}}
	}
	index, problems := scan(name, contents)
	if len(problems) > 0 {
		return nil, problems
	}
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    noChildSections,
	}
	loaded, err := ini.LoadSources(options, contents)
	if err != nil {
		return nil, Problems{{File: name, Expected: "INI syntax", Got: err.Error()}}
	}
	f := &fragment{}
	for _, sec := range loaded.Sections() {
		problems = append(problems, f.add(name, sec)...)
	}
	return f, locate(problems, index)
}

// add reads one section into the fragment.
func (f *fragment) add(file string, sec *ini.Section) Problems {
	if sec.Name() == ini.DefaultSection {
		return nil
	}
	s := &section{file: file, title: sec.Name(), values: map[string]string{}, asked: map[string]bool{}}
	for _, key := range sec.Keys() {
		s.values[key.Name()] = key.Value()
	}
	m := headerLine.FindStringSubmatch("[" + sec.Name() + "]")
	if m == nil {
		s.problem("", sectionKindsExpected)
		return s.problems
	}
	kind, name := m[1], m[2]
	if !namePattern.MatchString(name) {
		s.problem("", nameExpected)
	}
	f.addKind(kind, name, s)
	return s.problems
}

func (f *fragment) addKind(kind, name string, s *section) {
	switch kind {
	case "account":
		f.accounts = append(f.accounts, place(s, readAccount(s, name)))
	case "key":
		f.keys = append(f.keys, place(s, readKey(s, name)))
	case "model":
		f.models = append(f.models, place(s, readModel(s, name)))
	case "pool":
		f.pools = append(f.pools, place(s, readPool(s, name)))
	case "target":
		f.targets = append(f.targets, place(s, readTarget(s, name)))
	case "route":
		f.routes = append(f.routes, place(s, readRoute(s, name)))
	default:
		s.problem("", sectionKindsExpected)
		return
	}
	s.rejectUnknown()
}

func place[T any](s *section, v T) placed[T] {
	return placed[T]{value: v, file: s.file, title: s.title}
}

func readAccount(s *section, name string) Account {
	return Account{
		Name:            name,
		TokensPerSecond: s.positive("tokens-per-second", 0),
		BurstTokens:     s.positive("burst-tokens", 0),
		Weight:          s.positive("weight", DefaultWeight),
		KeyCutoff:       s.duration("key-cutoff", DefaultKeyCutoff, keyCutoffLowest),
	}
}

func readKey(s *section, name string) Key {
	return Key{
		ID:      name,
		Account: s.name("account"),
		SHA256:  s.text("sha256", hashPattern, hashExpected),
	}
}

func readModel(s *section, name string) Model {
	return Model{
		Name:             name,
		Version:          s.name("version"),
		PieceBytes:       s.count("piece-bytes", DefaultPieceBytes, 1, maxPieceBytes),
		BytesPerToken:    s.positive("bytes-per-token", DefaultBytesPerToken),
		DefaultMaxTokens: s.count("default-max-tokens", DefaultMaxOutputTokens, 1, maxOutputTokens),
	}
}

func readPool(s *section, name string) Pool {
	p := Pool{
		Name: name,
		Kind: PoolKind(s.choice("kind", string(KindEngine), string(KindService))),
	}
	if p.Kind == KindEngine {
		p.Model = s.name("model")
		p.PrefillTokensPerSecond = s.positive("prefill-tokens-per-second", DefaultPrefillTokensPerSecond)
		p.ServingFloor = s.count("serving-floor", 0, 0, maxTargets)
		p.MaxLoads = s.count("max-loads", DefaultMaxLoads, 1, maxTargets)
	}
	p.MaxConcurrent = s.count("max-concurrent", DefaultMaxConcurrent, 1, maxConcurrentRequests)
	return p
}

func readTarget(s *section, name string) Target {
	return Target{
		Name:          name,
		Address:       s.text("address", anyPattern, addressExpectedInSection),
		Domain:        s.name("domain"),
		Pool:          s.name("pool"),
		ChecksFencing: s.flag("checks-fencing", false),
	}
}

func readRoute(s *section, name string) Route {
	return Route{
		Name:           name,
		Path:           s.text("path", pathPattern, pathExpected),
		Pool:           s.name("pool"),
		Idempotent:     s.flag("idempotent", false),
		Priority:       s.count("priority", DefaultPriority, 0, highestPriority),
		Deadline:       s.duration("deadline", DefaultDeadline, deadlineLowest),
		CostTokens:     s.positive("cost-tokens", DefaultCostTokens),
		RunWhenLogDown: s.flag("run-when-log-down", false),
	}
}

// locate fills in the lines and puts the problems into their order.
func locate(ps Problems, index lineIndex) Problems {
	for i := range ps {
		ps[i].Line = index.line(ps[i].Section, ps[i].Key)
	}
	sort.SliceStable(ps, func(i, j int) bool { return less(ps[i], ps[j]) })
	return ps
}

func less(a, b Problem) bool {
	if a.File != b.File {
		return a.File < b.File
	}
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Key < b.Key
}
