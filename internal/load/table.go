package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the report as text.
func (rep Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("measure", "value")
	row("requests", "%d in %.1f s (%s)", rep.Sent, rep.Seconds, formatCounts(rep.Outcomes))
	if rep.ConnectFailures > 0 {
		row("entries passed over", "%d times", rep.ConnectFailures)
	}
	row("prefix hit rate", "%.1f%% (possible %.1f%%)", 100*rep.HitRate, 100*rep.PossibleHitRate)
	row("time to first token", "%s", rep.TimeToFirstToken)
	row("wasted recomputation", "%.1f%% of prompt tokens", 100*rep.WastedRecomputation)
	row("worst-served account", "%s", rep.formatAccount(rep.WorstServedAccount))
	row("lowest share answered", "%s", rep.formatAccount(rep.LowestShareAccount))
	row("refusals within rate", "%d", rep.WrongfulRefusals)
	_, _ = fmt.Fprintln(tw)
	_, _ = fmt.Fprintln(tw, "account\tsent\tok\tp50 ms\tp99 ms\toffered tok/s\tserved tok/s\twithin rate\twrongful\twith room\tover burst\toutcomes")
	for _, a := range rep.Accounts {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%t\t%d\t%d\t%.0f\t%s\n",
			a.Name, a.Sent, a.OK, a.TimeToFirstToken.P50, a.TimeToFirstToken.P99, a.OfferedTPS, a.ServedTPS,
			a.WithinRate, a.WrongfulRefusals, a.RefusalsWithRoom, a.OverBurstTokens, formatCounts(a.Outcomes))
	}
	for _, reason := range rep.Reasons {
		_, _ = fmt.Fprintln(tw, reason)
	}
	return tw.Flush()
}

// String formats the distribution in whole milliseconds.
func (l Latency) String() string {
	return fmt.Sprintf("p50 %.0f ms, p95 %.0f ms, p99 %.0f ms, max %.0f ms", l.P50, l.P95, l.P99, l.Max)
}

func (rep Report) formatAccount(name string) string {
	for _, a := range rep.Accounts {
		if a.Name == name {
			return fmt.Sprintf("%s: p99 %.0f ms, %d of %d answered (%.1f%%)", a.Name, a.TimeToFirstToken.P99, a.OK, a.Sent, 100*a.AnsweredShare())
		}
	}
	return "none"
}

func formatCounts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, m[name])
	}
	return strings.Join(names, ", ")
}
