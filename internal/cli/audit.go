package cli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mastictray/mastictray/internal/audit"
)

// entries are audit entries, oldest first.
type entries []audit.Entry

func (es entries) text(w io.Writer) {
	for _, e := range es {
		fmt.Fprintln(w, entryLine(e))
	}
}

// entryLine is one entry as a line: when, where, who, what, outcome, on what.
func entryLine(e audit.Entry) string {
	when := time.UnixMilli(e.AtMillis).UTC().Format(time.RFC3339)
	parts := []string{when, fmt.Sprintf("%s@%d", e.Stream, e.Offset), e.By, e.What, string(e.Outcome)}
	for _, s := range e.Subjects {
		before := s.Before
		if before == "" {
			before = "none"
		}
		parts = append(parts, fmt.Sprintf("%s %s->%s", s.Name, before, s.After))
	}
	if e.Reason != "" {
		parts = append(parts, "reason: "+strings.ReplaceAll(e.Reason, "\n", "; "))
	}
	if e.Note != "" {
		parts = append(parts, "note: "+e.Note)
	}
	return strings.Join(parts, "  ")
}

type auditCommand struct {
	Limit int    `help:"At most this many entries, the newest." default:"50"`
	By    string `help:"Only changes by this operator or instance." placeholder:"NAME"`
	Of    string `help:"Only changes of this file, key or target." placeholder:"NAME"`
}

// Run reads the trail from the log.
func (c *auditCommand) Run(e *Env) error {
	f, err := e.follow()
	if err != nil {
		return err
	}
	found := entries{}
	for _, entry := range f.State().Audit {
		if c.wanted(entry) {
			found = append(found, entry)
		}
	}
	if drop := len(found) - c.Limit; drop > 0 {
		found = found[drop:]
	}
	return e.print(found)
}

func (c *auditCommand) wanted(e audit.Entry) bool {
	if c.By != "" && e.By != c.By {
		return false
	}
	if c.Of == "" {
		return true
	}
	for _, s := range e.Subjects {
		if s.Name == c.Of {
			return true
		}
	}
	return false
}
