package config

import (
	"fmt"
	"regexp"
	"sort"
	"time"

	"gopkg.in/ini.v1"
)

// MaxFileBytes limits the size of a file: a change must fit into one log record.
const MaxFileBytes = 192 << 10

// Defaults and limits of the keys, and the descriptions of valid values in
// problems.
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
	maxPriority                   = 9
	// noChildDelimiter does not occur in section names, so that the INI library
	// takes no section for the child of another.
	noChildDelimiter     = "\x00"
	fileNameExpected     = "a file name such as reports/accounts.ini"
	hashExpected         = "64 hex digits in lower case (mastictray keys create prints them)"
	sectionKindsExpected = `a section of account, key, model, pool, target or route`
	maxFileNameLength    = 200
	pathExpected         = "a path that starts with '/', without '?', '#' or spaces"
	minDeadline          = time.Millisecond
	// minKeyCutoff exceeds the interval between two reads of the log. With a
	// smaller one, keys would be refused although all links are up.
	minKeyCutoff    = 15 * time.Second
	addressExpected = "ip:port"
)

var (
	fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*\.ini$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern     = regexp.MustCompile(`^/[^\s?#]*$`)
	nonBlankPattern = regexp.MustCompile(`^\S+$`)
)

// located is a parsed value with the file and section that it was read from.
type located[T any] struct {
	value T
	file  string
	title string
}

// parsedFile holds the sections of one file by kind.
type parsedFile struct {
	accounts []located[Account]
	keys     []located[Key]
	models   []located[Model]
	pools    []located[Pool]
	targets  []located[Target]
	routes   []located[Route]
}

// ParseFile validates one file on its own. References to other sections are
// checked by Build over the whole set.
func ParseFile(name string, contents []byte) error {
	_, ps := parseFile(name, contents)
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func parseFile(name string, contents []byte) (*parsedFile, Problems) {
	if !fileNamePattern.MatchString(name) || len(name) > maxFileNameLength {
		return nil, Problems{{File: name, Expected: fileNameExpected}}
	}
	if len(contents) > MaxFileBytes {
		return nil, Problems{{File: name, Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes)}}
	}
	index, problems := indexLines(name, contents)
	if len(problems) > 0 {
		return nil, problems
	}
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    noChildDelimiter,
	}
	loaded, err := ini.LoadSources(options, contents)
	if err != nil {
		return nil, Problems{{File: name, Expected: "INI syntax", Got: err.Error()}}
	}
	f := &parsedFile{}
	for _, sec := range loaded.Sections() {
		problems = append(problems, f.add(name, sec)...)
	}
	return f, setLines(problems, index)
}

// add parses one section.
func (f *parsedFile) add(file string, sec *ini.Section) Problems {
	if sec.Name() == ini.DefaultSection {
		return nil
	}
	s := &section{file: file, title: sec.Name(), values: map[string]string{}, lookedUp: map[string]bool{}}
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

func (f *parsedFile) addKind(kind, name string, s *section) {
	switch kind {
	case "account":
		f.accounts = append(f.accounts, withLocation(s, readAccount(s, name)))
	case "key":
		f.keys = append(f.keys, withLocation(s, readKey(s, name)))
	case "model":
		f.models = append(f.models, withLocation(s, readModel(s, name)))
	case "pool":
		f.pools = append(f.pools, withLocation(s, readPool(s, name)))
	case "target":
		f.targets = append(f.targets, withLocation(s, readTarget(s, name)))
	case "route":
		f.routes = append(f.routes, withLocation(s, readRoute(s, name)))
	default:
		s.problem("", sectionKindsExpected)
		return
	}
	s.rejectUnknown()
}

func withLocation[T any](s *section, v T) located[T] {
	return located[T]{value: v, file: s.file, title: s.title}
}

func readAccount(s *section, name string) Account {
	return Account{
		Name:            name,
		TokensPerSecond: s.positiveFloat("tokens-per-second", 0),
		BurstTokens:     s.positiveFloat("burst-tokens", 0),
		Weight:          s.positiveFloat("weight", DefaultWeight),
		KeyCutoff:       s.duration("key-cutoff", DefaultKeyCutoff, minKeyCutoff),
	}
}

func readKey(s *section, name string) Key {
	return Key{
		ID:      name,
		Account: s.name("account"),
		SHA256:  s.matching("sha256", hashPattern, hashExpected),
	}
}

func readModel(s *section, name string) Model {
	return Model{
		Name:             name,
		Version:          s.name("version"),
		PieceBytes:       s.integer("piece-bytes", DefaultPieceBytes, 1, maxPieceBytes),
		BytesPerToken:    s.positiveFloat("bytes-per-token", DefaultBytesPerToken),
		DefaultMaxTokens: s.integer("default-max-tokens", DefaultMaxOutputTokens, 1, maxOutputTokens),
	}
}

func readPool(s *section, name string) Pool {
	p := Pool{
		Name: name,
		Kind: PoolKind(s.oneOf("kind", string(KindEngine), string(KindService))),
	}
	if p.Kind == KindEngine {
		p.Model = s.name("model")
		p.PrefillTokensPerSecond = s.positiveFloat("prefill-tokens-per-second", DefaultPrefillTokensPerSecond)
		p.ServingFloor = s.integer("serving-floor", 0, 0, maxTargets)
		p.MaxLoads = s.integer("max-loads", DefaultMaxLoads, 1, maxTargets)
	}
	p.MaxConcurrent = s.integer("max-concurrent", DefaultMaxConcurrent, 1, maxConcurrentRequests)
	return p
}

func readTarget(s *section, name string) Target {
	return Target{
		Name:          name,
		Address:       s.matching("address", nonBlankPattern, addressExpected),
		Domain:        s.name("domain"),
		Pool:          s.name("pool"),
		ChecksFencing: s.yesNo("checks-fencing", false),
	}
}

func readRoute(s *section, name string) Route {
	return Route{
		Name:           name,
		Path:           s.matching("path", pathPattern, pathExpected),
		Pool:           s.name("pool"),
		Idempotent:     s.yesNo("idempotent", false),
		Priority:       s.integer("priority", DefaultPriority, 0, maxPriority),
		Deadline:       s.duration("deadline", DefaultDeadline, minDeadline),
		CostTokens:     s.positiveFloat("cost-tokens", DefaultCostTokens),
		RunWhenLogDown: s.yesNo("run-when-log-down", false),
	}
}

// setLines sets the line numbers of the problems of one file and sorts them.
func setLines(ps Problems, index lineIndex) Problems {
	for i := range ps {
		ps[i].Line = index.line(ps[i].Section, ps[i].Key)
	}
	sort.SliceStable(ps, func(i, j int) bool { return problemLess(ps[i], ps[j]) })
	return ps
}

func problemLess(a, b Problem) bool {
	if a.File != b.File {
		return a.File < b.File
	}
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Key < b.Key
}
