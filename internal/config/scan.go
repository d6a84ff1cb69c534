package config

import (
	"regexp"
	"strings"
)

// Accepted line formats. The INI library reports no line numbers and accepts
// more syntax; indexLines accepts only lines that the library reads the same
// way.
var (
	headerLine = regexp.MustCompile(`^\[([a-z]+) "([^"\]]*)"\]$`)
	keyLine    = regexp.MustCompile(`^([A-Za-z0-9_-]+)\s*=\s*(.*)$`)
)

type keyRef struct{ section, key string }

// lineIndex maps sections and keys to their line numbers.
type lineIndex struct {
	sections map[string]int
	keys     map[keyRef]int
}

// line returns the line of a key, or of its section if the key is absent.
func (index lineIndex) line(section, key string) int {
	if n, ok := index.keys[keyRef{section, key}]; ok {
		return n
	}
	return index.sections[section]
}

// indexLines records the lines of all sections and keys of a file. It reports
// lines with invalid syntax and duplicate sections and keys.
func indexLines(file string, contents []byte) (lineIndex, Problems) {
	index := lineIndex{sections: map[string]int{}, keys: map[keyRef]int{}}
	var ps Problems
	section := ""
	text := strings.TrimPrefix(string(contents), "\ufeff")
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		n := i + 1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = strings.Trim(line, "[]")
			ps = append(ps, index.addSection(file, n, line, section)...)
		default:
			ps = append(ps, index.addKey(file, n, line, section)...)
		}
	}
	return index, ps
}

func (index lineIndex) addSection(file string, n int, line, section string) Problems {
	if !headerLine.MatchString(line) {
		return Problems{{File: file, Line: n, Expected: `a section such as [account "name"]`, Got: line}}
	}
	if _, duplicate := index.sections[section]; duplicate {
		return Problems{{File: file, Line: n, Section: section, Expected: "each section once"}}
	}
	index.sections[section] = n
	return nil
}

func (index lineIndex) addKey(file string, n int, line, section string) Problems {
	m := keyLine.FindStringSubmatch(line)
	switch {
	case m == nil:
		return Problems{{File: file, Line: n, Section: section, Expected: "key = value", Got: line}}
	case section == "":
		return Problems{{File: file, Line: n, Key: m[1], Expected: "a section before the first key"}}
	case strings.HasPrefix(m[2], "`") || strings.HasPrefix(m[2], `"""`):
		return Problems{{File: file, Line: n, Section: section, Key: m[1], Expected: "a value of one line"}}
	}
	ref := keyRef{section, m[1]}
	if _, duplicate := index.keys[ref]; duplicate {
		return Problems{{File: file, Line: n, Section: section, Key: m[1], Expected: "each key once"}}
	}
	index.keys[ref] = n
	return nil
}
