package timeline

import (
	"regexp"
	"strconv"
	"time"
)

// line is one event of one process.
type line struct {
	// at is the time of day; the date is not in the line's head.
	at    time.Duration
	event string
	// fields are the values by key, without quotes.
	fields map[string]string
}

var (
	// head is a klog line from its time on; whatever collects logs may put
	// something before it.
	head = regexp.MustCompile(`[IE]\d{4} (\d\d):(\d\d):(\d\d\.\d+)\s+\d+ [^]]+\] "(\w+)"(.*)$`)
	pair = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// parse reads one line; false where it tells of no event.
func parse(text string) (line, bool) {
	m := head.FindStringSubmatch(text)
	if m == nil {
		return line{}, false
	}
	hours, errH := strconv.Atoi(m[1])
	minutes, errM := strconv.Atoi(m[2])
	seconds, errS := strconv.ParseFloat(m[3], 64)
	if errH != nil || errM != nil || errS != nil {
		return line{}, false
	}
	l := line{
		at:    time.Duration(hours)*time.Hour + time.Duration(minutes)*time.Minute + time.Duration(seconds*float64(time.Second)),
		event: m[4], fields: map[string]string{},
	}
	for _, f := range pair.FindAllStringSubmatch(m[5], -1) {
		value := f[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		l.fields[f[1]] = value
	}
	return l, true
}

// duration is a field that holds a time; 0 where there is none.
func (l *line) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.fields[key])
	if err != nil {
		return 0
	}
	return d
}

// number is a field that holds a whole number; 0 where there is none.
func (l *line) number(key string) int {
	n, err := strconv.Atoi(l.fields[key])
	if err != nil {
		return 0
	}
	return n
}
