package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// texter prints itself for people.
type texter interface{ text(w io.Writer) }

// print shows a result as the operator asked for it.
func (e *Env) print(result texter) error {
	if e.cmd.Output != "json" {
		result.text(e.Stdout)
		return nil
	}
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(result), "print result")
}

// document is an answer of the admin API, shown as it came.
type document struct{ value any }

// MarshalJSON gives the answer unchanged.
func (d document) MarshalJSON() ([]byte, error) { return json.Marshal(d.value) }

func (d document) text(w io.Writer) { writeValue(w, d.value, 0) }

// writeValue prints the members of an object one a line, in key order, and
// each item of a list on a line of its own.
func writeValue(w io.Writer, v any, depth int) {
	indent := strings.Repeat("  ", depth)
	switch v := v.(type) {
	case map[string]any:
		for _, name := range memberNames(v) {
			writeMember(w, indent+name+":", v[name], depth)
		}
	case []any:
		for _, item := range v {
			fmt.Fprintf(w, "%s- %s\n", indent, inline(item))
		}
	default:
		fmt.Fprintf(w, "%s%v\n", indent, v)
	}
}

func writeMember(w io.Writer, label string, v any, depth int) {
	switch v.(type) {
	case map[string]any, []any:
		fmt.Fprintln(w, label)
		writeValue(w, v, depth+1)
	default:
		fmt.Fprintf(w, "%s %v\n", label, v)
	}
}

// inline prints a value on one line: a=1 b=(c=2; c=3).
func inline(v any) string {
	switch v := v.(type) {
	case map[string]any:
		var parts []string
		for _, name := range memberNames(v) {
			parts = append(parts, name+"="+nested(v[name]))
		}
		return strings.Join(parts, " ")
	case []any:
		parts := make([]string, len(v))
		for i, item := range v {
			parts[i] = inline(item)
		}
		return strings.Join(parts, "; ")
	default:
		return fmt.Sprint(v)
	}
}

func nested(v any) string {
	switch v.(type) {
	case map[string]any, []any:
		return "(" + inline(v) + ")"
	default:
		return fmt.Sprint(v)
	}
}

// leadingNames are what people look for first in an object.
var leadingNames = []string{"rank", "name", "target", "resource", "instance", "scorer"}

// memberNames are the names in an object: the leading ones, then the others
// in alphabetical order.
func memberNames(v map[string]any) []string {
	var first, rest []string
	for _, name := range leadingNames {
		if _, ok := v[name]; ok {
			first = append(first, name)
		}
	}
	for name := range v {
		if !slices.Contains(first, name) {
			rest = append(rest, name)
		}
	}
	sort.Strings(rest)
	return append(first, rest...)
}
