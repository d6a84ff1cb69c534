package config

import (
	"regexp"
	"strings"
)

// The shapes of a line. The INI library reports no line numbers and accepts
// more than this; the scan narrows the syntax to lines that both read alike.
var (
	headerLine = regexp.MustCompile(`^\[([a-z]+) "([^"\]]*)"\]$`)
	keyLine    = regexp.MustCompile(`^([A-Za-z0-9_-]+)\s*=\s*(.*)$`)
)

type keyRef struct{ section, key string }

// lineIndex says in which line each section and each key stands.
type lineIndex struct {
	sections map[string]int
	keys     map[keyRef]int
}

// line finds a key, or its section when the key is absent.
func (x lineIndex) line(section, key string) int {
	if n, ok := x.keys[keyRef{section, key}]; ok {
		return n
	}
	return x.sections[section]
}

// scan indexes the lines of a file and reports each that has no valid shape
// or says something a second time.
func scan(file string, contents []byte) (lineIndex, Problems) {
	x := lineIndex{sections: map[string]int{}, keys: map[keyRef]int{}}
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
			ps = append(ps, x.addSection(file, n, line, section)...)
		default:
			ps = append(ps, x.addKey(file, n, line, section)...)
		}
	}
	return x, ps
}

func (x lineIndex) addSection(file string, n int, line, section string) Problems {
	if !headerLine.MatchString(line) {
		return Problems{{File: file, Line: n, Expected: `a section such as [account "name"]`, Got: line}}
	}
	if _, twice := x.sections[section]; twice {
		return Problems{{File: file, Line: n, Section: section, Expected: "each section once"}}
	}
	x.sections[section] = n
	return nil
}

func (x lineIndex) addKey(file string, n int, line, section string) Problems {
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
	if _, twice := x.keys[ref]; twice {
		return Problems{{File: file, Line: n, Section: section, Key: m[1], Expected: "each key once"}}
	}
	x.keys[ref] = n
	return nil
}
