package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/platform"
)

const horizon = time.Minute

// schedule draws a random history of three instances.
type schedule struct {
	*fleet
	t *rapid.T
	// firstUsed is the time of each key's first use, on the fleet's wall clock.
	firstUsed map[string]int64
	keys      []string
	calls     int
}

func newSchedule(t *rapid.T) *schedule {
	cfg := Config{
		MaxBatchAge: 1, RetryDelay: 1, RepeatHorizon: horizon, Window: 10 * time.Minute,
		MaxKeys: rapid.IntRange(1, 6).Draw(t, "maxKeys"), MaxHeldBytes: 30,
		MaxClockSkew: 10 * time.Second,
	}
	s := &schedule{fleet: newFleet(3, cfg), t: t, firstUsed: map[string]int64{}}
	for _, n := range s.nodes {
		n.skewMillis = rapid.Int64Range(-4000, 4000).Draw(t, "skew")
	}
	return s
}

func (s *schedule) node() (int, *node) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node")
	return i, s.nodes[i]
}

func (s *schedule) newKey() string {
	key := fmt.Sprintf("booking-%d", len(s.keys))
	switch rapid.IntRange(0, 4).Draw(s.t, "kind of key") {
	case 0, 1:
		key = datedKey(s.wall, len(s.keys))
	case 2:
		key = fmt.Sprintf("%s-%d", unclaimedPrefix, len(s.keys))
	}
	s.keys = append(s.keys, key)
	s.firstUsed[key] = s.wall
	return key
}

// key returns a new key, or an earlier one that callers may still retry.
func (s *schedule) key() string {
	if len(s.keys) > 0 && rapid.IntRange(0, 2).Draw(s.t, "retry") > 0 {
		key := rapid.SampledFrom(s.keys).Draw(s.t, "key")
		if _, dated := createdMillis(key); dated || s.wall-s.firstUsed[key] < horizon.Milliseconds()-8000 {
			return key
		}
	}
	return s.newKey()
}

func (s *schedule) step() {
	i, n := s.node()
	switch rapid.IntRange(0, 15).Draw(s.t, "step") {
	case 0, 1, 2:
		s.calls++
		key := s.key()
		s.begin(i, fmt.Sprintf("r%d", s.calls), key, strings.HasPrefix(key, unclaimedPrefix))
	case 3, 4, 5:
		if len(n.pending) > 0 {
			s.append(n, appendOutcome(max(0, rapid.IntRange(-4, 4).Draw(s.t, "append outcome"))))
		}
	case 6, 7:
		s.read(n, rapid.IntRange(1, 5).Draw(s.t, "limit"))
	case 8:
		if len(n.toDispatch) > 0 {
			s.dispatch(n)
		}
	case 9:
		if len(n.dispatched) > 0 {
			s.finish(n, dispatchOutcome(max(0, rapid.IntRange(-2, 2).Draw(s.t, "dispatch outcome"))))
		}
	case 10, 11, 12:
		s.settle(n)
	default:
		s.rareStep(i, n)
	}
}

func (s *schedule) rareStep(i int, n *node) {
	switch rapid.IntRange(0, 7).Draw(s.t, "rare") {
	case 0:
		s.kill(i)
	case 1:
		if len(s.lateAppends) > 0 {
			s.storeLateAppend()
		}
	case 2:
		s.logStart = platform.Offset(rapid.Int64Range(int64(s.logStart), int64(len(s.log))).Draw(s.t, "trim"))
	case 3:
		_, peer := s.node()
		n.machine.Restore([]Page{peer.machine.Snapshot(-1, 1000)})
	case 4:
		_, peer := s.node()
		n.machine.ProcessEnded(n.now, peer.incarnation+"x")
		s.ready(n)
	default:
		d := time.Duration(rapid.IntRange(1, 20).Draw(s.t, "seconds")) * time.Second
		s.wall += d.Milliseconds()
		for _, o := range s.nodes {
			o.now += d
		}
		s.tick(n)
	}
}

// Callers retry requests at any instance while instances fail, are suspended, restart from
// a trimmed log or a peer's snapshot and drop old keys, and while appends are lost, late
// or reported with the wrong outcome. In any order, a request runs at most once, one that
// was reported as not_run never runs, and a replay is the response to the first request.
// On a route that runs requests without a claim while the log is down, a key may run more
// than once, but the other two guarantees hold.
func TestAnyScheduleRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(rt)
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			s.step()
			if violation := s.violation(); violation != "" {
				rt.Fatal(violation)
			}
		}
	})
}

// drain completes all pending work without faults.
func (f *fleet) drain() {
	for range 50 {
		for _, n := range f.nodes {
			f.settle(n)
		}
	}
}

// settle completes the pending work of one node without faults.
func (f *fleet) settle(n *node) {
	for len(n.pending) > 0 {
		f.append(n, appendStored)
	}
	f.read(n, 1000)
	for len(n.toDispatch) > 0 {
		f.dispatch(n)
	}
	for len(n.dispatched) > 0 {
		f.finish(n, answered)
	}
}

// An append is reported as unknown, its request is refused as not_run at the deadline, and
// the claim is stored afterwards and takes the key. The instance must release the key, so
// that the caller's next attempt runs. Otherwise a request that never runs would hold the
// key for the whole window.
func TestOrphanedClaimIsAbandoned(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Config{MaxBatchAge: 1, RetryDelay: 1})
	f.begin(0, "r1", "key", false)
	f.append(f.nodes[0], appendLate)
	f.nodes[0].now += 20 * time.Second
	f.tick(f.nodes[0])
	is.True(f.notRun["r1"])
	f.storeLateAppend()
	f.drain()
	f.begin(1, "r2", "key", false)
	f.drain()
	is.Equal(f.runs["key"], []string{"r2"})
	is.Equal(f.violation(), "")
}

// The outcome of a claim's append is unknown. The claim must not be appended again: the
// second copy could be stored after the first was abandoned and hold the key for a request
// that never runs.
func TestUnknownAppendIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Config{MaxBatchAge: 1, RetryDelay: 1})
	f.begin(0, "r1", "key", false)
	f.append(f.nodes[0], appendLost)
	f.tick(f.nodes[0])
	is.Equal(len(f.nodes[0].pending), 0)
}

// The log is down. By default a request is refused at once with not_run. On a route that
// runs requests without a claim, it runs, and a retry at the same instance gets its
// response even before the log is available again.
func TestLogDownPerRoute(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Config{MaxBatchAge: 1, RetryDelay: time.Second})
	n := f.nodes[0]
	f.begin(0, "probe", "k0", false)
	for range logDownFailures {
		n.now += time.Second
		f.ready(n)
		f.append(n, appendRefused)
	}
	f.begin(0, "safe", "k1", false)
	is.True(f.notRun["safe"])
	f.begin(0, "unclaimed", "k2", true)
	f.begin(0, "retry", "k2", true)
	f.dispatch(n)
	f.finish(n, answered)
	is.Equal(f.runs["k2"], []string{"unclaimed"})
	is.Equal(n.machine.Stats().Answers[Replay], int64(1))
	n.now += 2 * time.Second
	f.ready(n)
	f.drain()
	is.Equal(n.machine.table.holders[HashKey("a", "k2")].Result.Status, 200)
}

// A caller reuses a key for a different request, which must be refused as not run. Running
// it would run two requests for one key, and a replay would be the response to the other
// request.
func TestKeyReusedForOtherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	m := New(Config{MaxBatchAge: 1})
	is.NoErr(m.Begin(0, 1, Request{ID: "r1", Key: "k", Deadline: time.Second}))
	is.NoErr(m.Begin(0, 1, Request{ID: "r2", Key: "k", Deadline: time.Second, RequestHash: RequestHash{1}}))
	out := m.Ready(1)
	is.Equal(out.Answers, []Answer{{ID: "r2", State: BodyMismatch}})
	is.Equal(len(out.Appends), 1)
}

// The claims of many requests share one append: the log accepts only several hundred
// appends per second from the whole fleet.
func TestClaimsShareOneAppend(t *testing.T) {
	is := is.New(t)
	m := New(Config{})
	for i := range 100 {
		id := fmt.Sprint("r", i)
		is.NoErr(m.Begin(0, 1, Request{ID: id, Key: id, Deadline: time.Second}))
	}
	is.Equal(len(m.Ready(0).Appends), 0)
	out := m.Ready(5 * time.Millisecond)
	is.Equal(len(out.Appends), 1)
	is.Equal(len(out.Appends[0].Records), 100)
}

func TestEarliestUse(t *testing.T) {
	is := is.New(t)
	const wall = 1_800_000_000_000
	earliest := func(key string) int64 { return earliestUse(key, wall, time.Minute, time.Second) }
	is.Equal(earliest(datedKey(wall-5, 1)), int64(wall-5))
	is.Equal(earliest("01KW8E2A00ABCDEFGHJKMNPQRS") < wall, true)
	is.Equal(earliest("booking-1"), int64(wall-60_000))
	is.Equal(earliest(datedKey(wall+3600_000, 1)), int64(wall-60_000)) // dated in the future
}
