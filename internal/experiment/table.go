package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the results as a table with aligned columns.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workload\tcase\tpolicy\trequests\thit\twasted\tp50 ms\tp99 ms\tworst account p99 ms\trefused\tlate\tlost\tbusy\thit at restart\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1f%%\t%.1f%%\t%.0f\t%.0f\t%.0f (%s)\t%d\t%d\t%d\t%.0f%%\t%.1f%%\t\n",
			r.Workload, r.Case, r.Policy, r.Requests, 100*r.HitRate, 100*r.Wasted, r.P50, r.P99, r.WorstP99, r.WorstAccount,
			r.Refused, r.Late, r.Lost, 100*r.Busy, 100*r.RestartHitRate)
	}
	return t.Flush()
}
