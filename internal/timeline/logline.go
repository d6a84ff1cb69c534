package timeline

import (
	"regexp"
	"strconv"
	"time"
)

// logLine is one event of one process.
type logLine struct {
	// at is the time of day. The date is ignored.
	at    time.Duration
	event string
	// fields are the unquoted values by key.
	fields map[string]string
}

var (
	// klogPattern matches a klog line. A log collector may put a prefix before
	// it.
	klogPattern  = regexp.MustCompile(`[IE]\d{4} (\d\d):(\d\d):(\d\d\.\d+)\s+\d+ [^]]+\] "(\w+)"(.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// parseLine parses one line. It reports false if the line is not an event.
func parseLine(text string) (logLine, bool) {
	m := klogPattern.FindStringSubmatch(text)
	if m == nil {
		return logLine{}, false
	}
	hours, errH := strconv.Atoi(m[1])
	minutes, errM := strconv.Atoi(m[2])
	seconds, errS := strconv.ParseFloat(m[3], 64)
	if errH != nil || errM != nil || errS != nil {
		return logLine{}, false
	}
	l := logLine{
		at:    time.Duration(hours)*time.Hour + time.Duration(minutes)*time.Minute + time.Duration(seconds*float64(time.Second)),
		event: m[4], fields: map[string]string{},
	}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[5], -1) {
		value := f[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		l.fields[f[1]] = value
	}
	return l, true
}

// duration returns a field as a duration, or 0 if there is none.
func (l *logLine) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.fields[key])
	if err != nil {
		return 0
	}
	return d
}

// number returns a field as an integer, or 0 if there is none.
func (l *logLine) number(key string) int {
	n, err := strconv.Atoi(l.fields[key])
	if err != nil {
		return 0
	}
	return n
}
