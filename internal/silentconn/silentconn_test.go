package silentconn

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that counts as silent while data arrives on it, and against one
// that does not count as silent although none does.
func TestCheck(t *testing.T) {
	start := time.Unix(1700000000, 0)
	const timeout = 300 * time.Millisecond
	for name, c := range map[string]struct {
		now, lastRead time.Duration // since the call began
		silent        bool
		recheckAfter  time.Duration
	}{
		"has just begun":         {lastRead: -time.Minute, recheckAfter: timeout},
		"nothing arrived":        {now: timeout, lastRead: -time.Millisecond, silent: true},
		"data arrived meanwhile": {now: timeout, lastRead: 100 * time.Millisecond, recheckAfter: 100 * time.Millisecond},
		"silent since that data": {now: 2 * timeout, lastRead: 100 * time.Millisecond, silent: true},
		"never any data":         {now: 2 * timeout, lastRead: -time.Hour, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			silent, recheckAfter := Check(start.Add(c.now), start, start.Add(c.lastRead), timeout)
			is.Equal(silent, c.silent)
			is.Equal(recheckAfter, c.recheckAfter)
		})
	}
}

// Guards against replacing the connections to a peer that is only slow, for each of its
// responses.
func TestTimeoutFollowsLatency(t *testing.T) {
	is := is.New(t)
	var l Latency
	is.Equal(l.Timeout(), MinTimeout)
	l.Observe(MinTimeout * 2 / 3)
	is.Equal(l.Timeout(), MinTimeout*4/3)
	l.Observe(time.Minute)
	is.Equal(l.Timeout(), MaxTimeout)
	for range 100 {
		l.Observe(time.Millisecond)
	}
	is.Equal(l.Timeout(), MinTimeout)
}
