package config

import (
	"fmt"
	"strings"
)

// Problem is one fault of a configuration file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 when the fault is not in a line of a file.
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Expected says what a valid file has at this place.
	Expected string `json:"expected"`
	// Got is the value found, if there was one.
	Got string `json:"got,omitempty"`
}

// String is file:line: section key: expected X, got Y.
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

// Problems are all faults of a set of files, in file and line order.
type Problems []Problem

// Error joins the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
