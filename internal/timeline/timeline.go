package timeline

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Row summarizes one time window.
type Row struct {
	// From is the start of the window, counted from the first event.
	From time.Duration `json:"from"`
	// Sampled is the number of answered prompts in the logs, which have only a
	// sample of them. The durations below are medians over these;
	// FirstTokenP90 is the 90th percentile.
	Sampled int `json:"sampled"`
	// Targets is the median number of candidate targets of a prompt.
	Targets int `json:"targets"`
	// Queued is the wait at the entry instance, Expected the estimated time
	// from there to the first token, FirstToken the measured one.
	Queued        time.Duration `json:"queued"`
	Expected      time.Duration `json:"expected"`
	FirstToken    time.Duration `json:"first"`
	FirstTokenP90 time.Duration `json:"worst"`
	// Refused counts the refused requests by reason.
	Refused map[string]int `json:"refused,omitempty"`
	// LeftBeforeSend counts the callers that left before their request was sent
	// to a target, LeftAfterSend those that left afterwards.
	LeftBeforeSend int `json:"left_waiting"`
	LeftAfterSend  int `json:"left"`
	// FailedAttempts counts the attempts without a complete answer of the
	// target.
	FailedAttempts int `json:"failed"`
	// Orders counts the orders to load weights, Loaded the completed loads.
	// LoadTime is the median duration of these.
	Orders   int           `json:"orders"`
	Loaded   int           `json:"loaded"`
	LoadTime time.Duration `json:"load"`
	// StreamsMoved counts the streams that were moved away from targets that
	// were about to load weights.
	StreamsMoved int `json:"moved"`
	// Versions lists the weights and configuration versions that first appeared
	// in this window, LeaseTokens the tokens of the leases taken.
	Versions    []string `json:"versions,omitempty"`
	LeaseTokens []string `json:"lease,omitempty"`
}

// window collects the events of one row.
type window struct {
	row                            Row
	targets                        []int
	queued, expected, first, loads []time.Duration
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Read reads the logs of any number of processes, in any order, and returns the
// rows in order of time. Windows without events have no row.
func Read(r io.Reader, width time.Duration) ([]Row, error) {
	windows := map[time.Duration]*window{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var events []logLine
	for lines.Scan() {
		if l, ok := parseLine(lines.Text()); ok {
			events = append(events, l)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read logs")
	}
	if len(events) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(events, func(a, b logLine) int { return int(a.at - b.at) })
	start := events[0].at
	seen := map[string]bool{}
	for i := range events {
		from := (events[i].at - start).Truncate(width)
		if windows[from] == nil {
			windows[from] = &window{row: Row{From: from, Refused: map[string]int{}}}
		}
		windows[from].add(&events[i], seen)
	}
	var rows []Row
	for _, w := range windows {
		rows = append(rows, w.summarize())
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(a.From - b.From) })
	return rows, nil
}

// add counts one event. seen holds the versions that have appeared so far.
func (w *window) add(l *logLine, seen map[string]bool) {
	addNew := func(list *[]string, name string) {
		if !seen[name] {
			seen[name] = true
			*list = append(*list, name)
		}
	}
	switch l.event {
	case "answered":
		w.addAnswered(l)
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
		addNew(&w.row.Versions, "weights="+l.fields["version"])
	case "config_in_force":
		addNew(&w.row.Versions, "config="+l.fields["version"])
	case "lease_taken":
		w.row.LeaseTokens = append(w.row.LeaseTokens, l.fields["token"])
	}
}

// addAnswered counts an answered prompt. Requests of plain services, which have
// no estimate, are left out.
func (w *window) addAnswered(l *logLine) {
	if l.duration("expected") == 0 {
		return
	}
	queued := l.duration("queued")
	w.queued = append(w.queued, queued)
	w.expected = append(w.expected, l.duration("expected"))
	w.first = append(w.first, l.duration("first")-queued)
	w.targets = append(w.targets, l.number("targets"))
}

// firstTokenQuantile is the quantile of Row.FirstTokenP90.
const firstTokenQuantile = 0.9

func (w *window) summarize() Row {
	w.row.Sampled, w.row.Loaded = len(w.first), len(w.loads)
	w.row.Targets = quantile(w.targets, 0.5)
	w.row.Queued, w.row.Expected = quantile(w.queued, 0.5), quantile(w.expected, 0.5)
	w.row.FirstToken, w.row.FirstTokenP90 = quantile(w.first, 0.5), quantile(w.first, firstTokenQuantile)
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
