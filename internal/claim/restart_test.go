package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// An instance is killed between claim and result and restarts with the same address. A
// retry there must get MayHaveRun at once: the process that could have produced the
// result has ended, and waiting for it would use up the caller's whole deadline.
func TestRetryOfPredecessorsRequestIsAnsweredAtOnce(t *testing.T) {
	for name, tt := range map[string]struct {
		address string
		want    []State
	}{
		"the predecessor's claim": {"10.0.0.1:1", []State{MayHaveRun}},
		"a live peer's claim":     {"10.0.0.2:1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := New(Config{Incarnation: "new", Address: "10.0.0.1:1"})
			body := HashRequest("POST", "/bookings", nil)
			data, err := logrec.Encode(KindClaim, "old", 0, Claim{
				Key: HashKey("acc", "k"), RequestHash: body, Attempt: "old-1", Incarnation: "old", Address: tt.address,
			})
			is.NoErr(err)
			is.NoErr(m.ApplyRecords(0, 0, platform.Batch{Next: 1, Records: []platform.Record{{Data: data}}}))
			is.NoErr(m.Begin(time.Second, 1000, Request{ID: "r", Account: "acc", Key: "k", RequestHash: body, Deadline: time.Minute}))
			var got []State
			for _, a := range m.Ready(time.Second).Answers {
				got = append(got, a.State)
			}
			is.Equal(got, tt.want)
		})
	}
}
