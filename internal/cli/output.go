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

// textPrinter is a result that can be printed as text.
type textPrinter interface{ writeText(w io.Writer) }

// print prints a result in the output format of the command line.
func (e *Env) print(result textPrinter) error {
	if e.cmd.Output != "json" {
		result.writeText(e.Stdout)
		return nil
	}
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(result), "print result")
}

// adminResponse is a decoded response of the admin API.
type adminResponse struct{ value any }

// MarshalJSON encodes the response unchanged.
func (d adminResponse) MarshalJSON() ([]byte, error) { return json.Marshal(d.value) }

func (d adminResponse) writeText(w io.Writer) { writeValue(w, d.value, 0) }

// writeValue prints each member of an object, in the order of memberNames, and
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

// inline formats a value on one line, such as a=1 b=(c=2; c=3).
func inline(v any) string {
	switch v := v.(type) {
	case map[string]any:
		var parts []string
		for _, name := range memberNames(v) {
			parts = append(parts, name+"="+inlineNested(v[name]))
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

func inlineNested(v any) string {
	switch v.(type) {
	case map[string]any, []any:
		return "(" + inline(v) + ")"
	default:
		return fmt.Sprint(v)
	}
}

// leadingNames are the members of an object that are printed first.
var leadingNames = []string{"rank", "name", "target", "resource", "instance", "scorer"}

// memberNames returns the names of an object's members: the leading ones, then
// the others in alphabetical order.
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
