package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoadCorrectsReport(t *testing.T) {
	const rate = 1000
	cases := map[string]struct {
		do   func(*Load)
		want float64
	}{
		"report drains":     {func(l *Load) { l.Report(0, 1500) }, 500},
		"never below zero":  {func(l *Load) { l.Report(0, 200) }, 0},
		"own work is added": {func(l *Load) { l.Report(0, 0); l.Sent(900*time.Millisecond, 300); l.Failed(300) }, 200},
		"first token completes earlier work": {func(l *Load) {
			l.Report(0, 5000)
			l.Sent(800*time.Millisecond, 300)
			l.Sent(900*time.Millisecond, 200)
			l.Answered(800*time.Millisecond, 300)
		}, 200},
		"unanswered work counts": {func(l *Load) { l.Sent(0, 300) }, 300},
		"report covers earlier work": {func(l *Load) {
			l.Sent(100*time.Millisecond, 5000)
			l.Answered(100*time.Millisecond, 5000)
			l.Report(time.Second, 40)
		}, 40},
		"older report is ignored": {func(l *Load) { l.Report(time.Second, 40); l.Report(0, 9000) }, 40},
		"reset":                   {func(l *Load) { l.Report(0, 9000); l.Reset(time.Second) }, 0},
		"many sends are merged": {func(l *Load) {
			for range 200 {
				l.Sent(time.Second, 10)
			}
		}, 2000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Load
			c.do(&l)
			is.Equal(l.Queued(time.Second, rate), c.want)
		})
	}
}
