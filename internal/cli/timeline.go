package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/timeline"
)

type timelineCommand struct {
	Window time.Duration `help:"Length of the time window of a row." default:"2s"`
}

// Run summarizes the logs of a fleet from standard input.
func (c *timelineCommand) Run(e *Env) error {
	if c.Window <= 0 {
		return errors.New("--window must be above 0")
	}
	rows, err := timeline.Read(e.Stdin, c.Window)
	if err != nil {
		return err
	}
	return e.print(timelineRows(rows))
}

type timelineRows []timeline.Row

func (rows timelineRows) writeText(out io.Writer) {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, "from\tsampled\ttargets\tqueued\texpected\tfirst\tp90\tleft waiting/sent\tfailed\tordered/loaded\tload\tmoved\trefused\tevents")
	for _, r := range rows {
		events := append([]string{}, r.Versions...)
		for _, token := range r.LeaseTokens {
			events = append(events, "lease="+token)
		}
		fmt.Fprintf(w, "%v\t%d\t%d\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%d/%d\t%s\t%d\t%s\t%s\n", r.From, r.Sampled, r.Targets,
			millis(r.Queued), millis(r.Expected), millis(r.FirstToken), millis(r.FirstTokenP90), r.LeftBeforeSend, r.LeftAfterSend, r.FailedAttempts,
			r.Orders, r.Loaded, millis(r.LoadTime), r.StreamsMoved, counts(r.Refused), strings.Join(events, " "))
	}
	// The only errors are those of writing to out.
	_ = w.Flush()
}

func millis(d time.Duration) string { return d.Round(time.Millisecond).String() }

// counts formats the counts in order of their reasons.
func counts(n map[string]int) string {
	var parts []string
	for reason, count := range n {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, count))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
