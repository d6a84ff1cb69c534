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

// auditEntries is a list of audit entries, oldest first.
type auditEntries []audit.Entry

func (es auditEntries) writeText(w io.Writer) {
	for _, e := range es {
		fmt.Fprintln(w, formatEntry(e))
	}
}

// formatEntry formats an entry as one line: time, record, author, kind, outcome
// and subjects.
func formatEntry(e audit.Entry) string {
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
	Limit int    `help:"Maximum number of entries; the newest are shown." default:"50"`
	By    string `help:"Only changes by this operator or instance." placeholder:"NAME"`
	Of    string `help:"Only changes of this file, key, pool or target." placeholder:"NAME"`
}

// Run prints the audit trail from both streams of the log. It has the newest
// configuration entries, which are part of the state, and the orders that the
// log still retains.
func (c *auditCommand) Run(e *Env) error {
	f, err := e.replayConfig()
	if err != nil {
		return err
	}
	orders, err := e.readOrders()
	if err != nil {
		return err
	}
	found := auditEntries{}
	for _, entry := range append(orders, f.State().Audit...) {
		if c.matches(entry) {
			found = append(found, entry)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].AtMillis < found[j].AtMillis })
	if drop := len(found) - c.Limit; drop > 0 {
		found = found[drop:]
	}
	return e.print(found)
}

// readOrders reads the orders to targets from the control stream.
func (e *Env) readOrders() (auditEntries, error) {
	var found auditEntries
	for from, atEnd := platform.Offset(0), false; !atEnd; {
		batch, err := e.readStream(platform.StreamControl, from, 0)
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
			if entry, ok := rollout.AuditEntry(int64(r.Offset), envelope); ok {
				found = append(found, entry)
			}
		}
		atEnd = len(batch.Records) == 0 || from >= batch.Next
	}
	return found, nil
}

func (c *auditCommand) matches(e audit.Entry) bool {
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
