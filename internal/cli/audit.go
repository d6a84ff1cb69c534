package cli

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/rollout"
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
	parts := []string{when, fmt.Sprintf("%s@%d", e.Stream, e.Offset), e.By, e.Kind, string(e.Outcome)}
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
	Of    string `help:"Only changes of this file, key, pool or target." placeholder:"NAME"`
}

// Run reads the trail from both streams of the log. Configuration goes back
// as far as its newest entries, orders as far as the log retains them.
func (c *auditCommand) Run(e *Env) error {
	f, err := e.follow()
	if err != nil {
		return err
	}
	orders, err := e.orders()
	if err != nil {
		return err
	}
	found := entries{}
	for _, entry := range append(orders, f.State().Audit...) {
		if c.wanted(entry) {
			found = append(found, entry)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].AtMillis < found[j].AtMillis })
	if drop := len(found) - c.Limit; drop > 0 {
		found = found[drop:]
	}
	return e.print(found)
}

// orders reads what was ordered of targets from the control stream.
func (e *Env) orders() (entries, error) {
	var found entries
	for from, end := platform.Offset(0), false; !end; {
		batch, err := e.read(platform.StreamControl, from, 0)
		switch {
		case errors.Is(err, platform.ErrTrimmed) && batch.Start > from:
			from = batch.Start
			continue
		case err != nil:
			return nil, errors.Wrapf(err, "read orders peer=%s", e.cmd.Log)
		}
		for _, r := range batch.Records {
			from = r.Offset + 1
			envelope, err := logrec.Decode(r.Data)
			if err != nil {
				continue
			}
			if entry, ok := rollout.Entry(int64(r.Offset), envelope); ok {
				found = append(found, entry)
			}
		}
		end = len(batch.Records) == 0 || from >= batch.Next
	}
	return found, nil
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
