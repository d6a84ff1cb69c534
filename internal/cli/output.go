package cli

import (
	"encoding/json"
	"fmt"
	"io"
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

// writeValue prints nested values by indentation, maps in key order.
func writeValue(w io.Writer, v any, depth int) {
	indent := strings.Repeat("  ", depth)
	switch v := v.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			writeMember(w, indent+name+":", v[name], depth)
		}
	case []any:
		for _, item := range v {
			writeMember(w, indent+"-", item, depth)
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
