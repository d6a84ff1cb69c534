package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as text.
func (rep BookingReport) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "bookings\tvalue")
	_, _ = fmt.Fprintf(tw, "sent\t%d, in %d attempts (%s)\n", rep.Bookings, rep.Attempts, formatCounts(rep.Outcomes))
	_, _ = fmt.Fprintf(tw, "confirmed\t%d\n", rep.Confirmed)
	_, _ = fmt.Fprintf(tw, "ran, unconfirmed\t%d\n", rep.Unconfirmed)
	_, _ = fmt.Fprintf(tw, "not run\t%d\n", rep.NotRun)
	if len(rep.Codes) > 0 {
		_, _ = fmt.Fprintf(tw, "codes\t%s\n", formatCounts(rep.Codes))
	}
	_, _ = fmt.Fprintf(tw, "violations\t%d\n", len(rep.Violations))
	for _, v := range rep.Violations[:min(len(rep.Violations), maxReasons)] {
		_, _ = fmt.Fprintln(tw, v)
	}
	return tw.Flush()
}
