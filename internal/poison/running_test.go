package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against losing the crash of a request that was sent without Admit
// because there were no suspects. If its first loss were not counted, it would
// take down a third target.
func TestCrashOfUnadmittedRequestCounts(t *testing.T) {
	is := is.New(t)
	r := New(Config{Self: "a"})
	fp := FingerprintOf("acc", "/p", []byte(`{"x":1}`))
	r.RegisterRunning("1", fp, "pool", "t1", []string{"t2"})
	r.TargetCrashed(time.Second, "t1", "t1-1", []string{"1"})
	r.Tick(2 * time.Second)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "1", Verdict: Retry}})

	is.Equal(r.Admit(2*time.Second, "1", fp, "pool", []string{"t2"}), Wait)
	r.Tick(10 * time.Second)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "1", Verdict: Isolate, Target: "t2"}})
	r.Started("1", "t2")
	r.TargetCrashed(11*time.Second, "t2", "t2-1", []string{"1"})
	r.Tick(12 * time.Second)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "1", Verdict: Quarantined}})
}
