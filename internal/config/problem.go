package config

import (
	"fmt"
	"strings"
)

// Problem is a validation error in a configuration file.
type Problem struct {
	File string `json:"file"`
	// Line is 1-based; 0 if the problem has no line in a file.
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Expected describes the valid content at this location.
	Expected string `json:"expected"`
	// Got is the value found; empty if there was none.
	Got string `json:"got,omitempty"`
}

// String formats the problem as file:line: [section] key: expected X, got "Y".
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", p.File, p.Line)
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s:", p.Key)
	}
	fmt.Fprintf(&b, " expected %s", p.Expected)
	if p.Got != "" {
		fmt.Fprintf(&b, ", got %q", p.Got)
	}
	return b.String()
}

// Problems lists the validation errors of a set of files by file and line.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
