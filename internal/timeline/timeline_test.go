package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logs are the logs of two processes, one after the other. The lines of one have
// the prefix of a log collector.
const logs = `I1006 14:29:18.100000 1 finish.go:58] "answered" request="a" route="chat" queued="10ms" first="110ms" expected="40ms" targets=12
I1006 14:29:18.200000 1 finish.go:58] "answered" request="b" route="chat" queued="30ms" first="530ms" expected="60ms" targets=10
I1006 14:29:18.300000 1 finish.go:58] "answered" request="c" route="bookings" queued="0s" first="20ms" expected="0s" targets=0
I1006 14:29:20.100000 1 serve.go:9] "refused" request="d" status=503 reason="queue_no_target" after="1ms"
E1006 14:29:20.200000 1 rollout.go:9] "lease_unread" err="store /x: \"reset\""
not a line of ours
   2.0 entry-2 I1006 14:29:17.000000 2 gateway.go:122] "started" instance="entry-2"
   5.0 entry-2 I1006 14:29:20.000000 2 operators.go:133] "weights_named" model="m" version=3 from="store"
   5.1 entry-2 I1006 14:29:20.150000 2 finish.go:15] "caller_left" request="e" sent=0 after="1s"
   5.2 entry-2 I1006 14:29:20.160000 2 finish.go:15] "caller_left" request="f" sent=1 after="1s"
   5.3 entry-2 I1006 14:29:20.170000 2 rollout.go:75] "weights_loaded" target="t" version=3 took="1.5s" loading=2
   5.4 entry-2 I1006 14:29:20.180000 2 operators.go:133] "weights_named" model="m" version=3 from="entry-1"
`

func TestRead(t *testing.T) {
	is := is.New(t)
	rows, err := Read(strings.NewReader(logs), 2*time.Second)
	is.NoErr(err)
	is.Equal(rows, []Row{
		{
			Sampled: 2, Targets: 12, Queued: 30 * time.Millisecond, Expected: 60 * time.Millisecond,
			FirstToken: 500 * time.Millisecond, FirstTokenP90: 500 * time.Millisecond, Refused: map[string]int{},
		},
		{
			From: 2 * time.Second, Refused: map[string]int{"queue_no_target": 1}, LeftBeforeSend: 1, LeftAfterSend: 1,
			Loaded: 1, LoadTime: 1500 * time.Millisecond, Versions: []string{"weights=3"},
		},
	})
}

func TestReadWithoutLines(t *testing.T) {
	is := is.New(t)
	rows, err := Read(strings.NewReader("nothing\n"), time.Second)
	is.NoErr(err)
	is.Equal(len(rows), 0)
}
