package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"
)

// namePattern matches valid names of accounts, keys, models, pools, targets,
// routes, domains and versions.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameExpected = "a name of lower-case letters, digits, '.', '_' and '-', at most 63"

// section reads typed values from one INI section and collects its problems.
// A key that was never looked up is unknown to this kind of section.
type section struct {
	file     string
	title    string
	values   map[string]string
	lookedUp map[string]bool
	problems Problems
}

func (s *section) problem(key, expected string) {
	s.problems = append(s.problems, Problem{
		File: s.file, Section: s.title, Key: key, Expected: expected, Got: s.values[key],
	})
}

func (s *section) lookup(key string) (string, bool) {
	s.lookedUp[key] = true
	v, ok := s.values[key]
	return v, ok
}

// name reads a required name, such as a reference to another section.
func (s *section) name(key string) string {
	v, _ := s.lookup(key)
	if !namePattern.MatchString(v) {
		s.problem(key, nameExpected)
	}
	return v
}

// matching reads a required value that matches the pattern.
func (s *section) matching(key string, pattern *regexp.Regexp, expected string) string {
	v, _ := s.lookup(key)
	if !pattern.MatchString(v) {
		s.problem(key, expected)
	}
	return v
}

// oneOf reads a required value from a fixed set.
func (s *section) oneOf(key string, allowed ...string) string {
	v, _ := s.lookup(key)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	s.problem(key, fmt.Sprintf("one of %q", allowed))
	return v
}

// positiveFloat reads a number above 0. The key is required if def is 0.
func (s *section) positiveFloat(key string, def float64) float64 {
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

// integer reads a whole number from minimum to maximum.
func (s *section) integer(key string, def, minimum, maximum int) int {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < minimum || n > maximum {
		s.problem(key, fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
		return def
	}
	return n
}

// yesNo reads a boolean written as yes or no.
func (s *section) yesNo(key string, def bool) bool {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	if v != "yes" && v != "no" {
		s.problem(key, "yes or no")
	}
	return v == "yes"
}

// duration reads a duration such as 90s or 10m that is at least minimum.
func (s *section) duration(key string, def, minimum time.Duration) time.Duration {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minimum {
		s.problem(key, fmt.Sprintf("a duration such as 90s or 10m, at least %s", minimum))
		return def
	}
	return d
}

// rejectUnknown reports the keys that were never looked up. A misspelt key
// would otherwise silently leave its default in force.
func (s *section) rejectUnknown() {
	for key := range s.values {
		if !s.lookedUp[key] {
			s.problem(key, "a key that this kind of section has")
		}
	}
}
