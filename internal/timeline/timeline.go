package timeline

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is what happened in one window.
type Row struct {
	// From is the begin of the window after the first line.
	From time.Duration `json:"from"`
	// Sampled is the answered prompts that the logs have lines of. The times
	// below are medians over these; Worst is the 90th percentile of First.
	Sampled int `json:"sampled"`
	// Targets is the median number of targets that a prompt could go to.
	Targets int `json:"targets"`
	// Queued is the wait at the entry instance, Expected the estimate of the
	// time from there to the first token, First that time as measured.
	Queued        time.Duration `json:"queued"`
	Expected      time.Duration `json:"expected"`
	FirstToken    time.Duration `json:"first"`
	FirstTokenP90 time.Duration `json:"worst"`
	// Refused is the refusals by reason.
	Refused map[string]int `json:"refused,omitempty"`
	// LeftBeforeSend is the callers that left before their request was sent, Left
	// those that left afterwards.
	LeftBeforeSend int `json:"left_waiting"`
	LeftAfterSend  int `json:"left"`
	// FailedAttempts is the attempts that a target did not answer whole.
	FailedAttempts int `json:"failed"`
	// Orders is the orders to load weights, Loaded the loads that ended, Load
	// the median time of these.
	Orders   int           `json:"orders"`
	Loaded   int           `json:"loaded"`
	LoadTime time.Duration `json:"load"`
	// StreamsMoved is the streams that were moved away from targets about to load.
	StreamsMoved int `json:"moved"`
	// Versions lists the versions of weights and of the configuration that
	// became known, Lease the tokens of the leases taken.
	Versions    []string `json:"versions,omitempty"`
	LeaseTokens []string `json:"lease,omitempty"`
}

// window collects the lines of one row.
type window struct {
	row                            Row
	targets                        []int
	queued, expected, first, loads []time.Duration
}

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Read reads the logs of any number of processes, in any order, and gives the
// rows in order of time. Windows without a line have no row.
func Read(r io.Reader, width time.Duration) ([]Row, error) {
	windows := map[time.Duration]*window{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	var all []line
	for lines.Scan() {
		if l, ok := parse(lines.Text()); ok {
			all = append(all, l)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read logs")
	}
	if len(all) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(all, func(a, b line) int { return int(a.at - b.at) })
	start := all[0].at
	seen := map[string]bool{}
	for i := range all {
		from := (all[i].at - start).Truncate(width)
		if windows[from] == nil {
			windows[from] = &window{row: Row{From: from, Refused: map[string]int{}}}
		}
		windows[from].take(&all[i], seen)
	}
	var rows []Row
	for _, w := range windows {
		rows = append(rows, w.finish())
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(a.From - b.From) })
	return rows, nil
}

// take counts one line; seen are the versions that became known before.
func (w *window) take(l *line, seen map[string]bool) {
	once := func(list *[]string, what string) {
		if !seen[what] {
			seen[what] = true
			*list = append(*list, what)
		}
	}
	switch l.event {
	case "answered":
		w.answered(l)
	case "refused":
		w.row.Refused[l.fields["reason"]]++
	case "caller_left":
		if l.fields["sent"] == "0" {
			w.row.LeftBeforeSend++
		} else {
			w.row.LeftAfterSend++
		}
	case "attempt_failed":
		w.row.FailedAttempts++
	case "order":
		w.row.Orders++
	case "weights_loaded":
		w.loads = append(w.loads, l.duration("took"))
	case "stream_moved":
		w.row.StreamsMoved++
	case "weights_named":
		once(&w.row.Versions, "weights="+l.fields["version"])
	case "config_in_force":
		once(&w.row.Versions, "config="+l.fields["version"])
	case "lease_taken":
		w.row.LeaseTokens = append(w.row.LeaseTokens, l.fields["token"])
	}
}

// answered counts an answered prompt; plain services have no estimate.
func (w *window) answered(l *line) {
	if l.duration("expected") == 0 {
		return
	}
	queued := l.duration("queued")
	w.queued = append(w.queued, queued)
	w.expected = append(w.expected, l.duration("expected"))
	w.first = append(w.first, l.duration("first")-queued)
	w.targets = append(w.targets, l.number("targets"))
}

// worst is the quantile of first tokens that Row.Worst gives.
const worst = 0.9

func (w *window) finish() Row {
	w.row.Sampled, w.row.Loaded = len(w.first), len(w.loads)
	w.row.Targets = quantile(w.targets, 0.5)
	w.row.Queued, w.row.Expected = quantile(w.queued, 0.5), quantile(w.expected, 0.5)
	w.row.FirstToken, w.row.FirstTokenP90 = quantile(w.first, 0.5), quantile(w.first, worst)
	w.row.LoadTime = quantile(w.loads, 0.5)
	return w.row
}

func quantile[T int | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
