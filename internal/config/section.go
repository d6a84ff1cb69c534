package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"
)

// namePattern is what accounts, keys, models, pools, targets, routes,
// domains and versions may be called.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameExpected = "a name of lower-case letters, digits, '.', '_' and '-', at most 63"

// section reads the typed values of one section and collects its problems.
// A key that no reader asked for is unknown.
type section struct {
	file     string
	title    string
	values   map[string]string
	asked    map[string]bool
	problems Problems
}

func (s *section) problem(key, expected string) {
	s.problems = append(s.problems, Problem{
		File: s.file, Section: s.title, Key: key, Expected: expected, Got: s.values[key],
	})
}

func (s *section) lookup(key string) (string, bool) {
	s.asked[key] = true
	v, ok := s.values[key]
	return v, ok
}

// name reads a required name of another thing.
func (s *section) name(key string) string {
	v, _ := s.lookup(key)
	if !namePattern.MatchString(v) {
		s.problem(key, nameExpected)
	}
	return v
}

// text reads a value that must match the pattern.
func (s *section) text(key string, pattern *regexp.Regexp, expected string) string {
	v, _ := s.lookup(key)
	if !pattern.MatchString(v) {
		s.problem(key, expected)
	}
	return v
}

// choice reads a value out of a fixed set.
func (s *section) choice(key string, allowed ...string) string {
	v, _ := s.lookup(key)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	s.problem(key, fmt.Sprintf("one of %q", allowed))
	return v
}

// positive reads a number above 0; def 0 means that the key is required.
func (s *section) positive(key string, def float64) float64 {
	v, ok := s.lookup(key)
	if !ok && def > 0 {
		return def
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f <= 0 {
		s.problem(key, "a number above 0")
		return def
	}
	return f
}

// count reads a whole number between lowest and highest.
func (s *section) count(key string, def, lowest, highest int) int {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lowest || n > highest {
		s.problem(key, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
		return def
	}
	return n
}

// flag reads yes or no.
func (s *section) flag(key string, def bool) bool {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	if v != "yes" && v != "no" {
		s.problem(key, "yes or no")
	}
	return v == "yes"
}

// duration reads a time such as 90s or 10m, not below lowest.
func (s *section) duration(key string, def, lowest time.Duration) time.Duration {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < lowest {
		s.problem(key, fmt.Sprintf("a duration such as 90s or 10m, at least %s", lowest))
		return def
	}
	return d
}

// rejectUnknown reports the keys that no reader asked for: a misspelt key
// would otherwise leave its default in force without a word.
func (s *section) rejectUnknown() {
	for key := range s.values {
		if !s.asked[key] {
			s.problem(key, "a key that this kind of section has")
		}
	}
}
