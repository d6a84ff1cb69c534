package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// An instance is killed between its claim and the result, and restarted at its
// address. The caller repeats the booking there. The answer "may have run"
// comes at once: the process that could have brought the result is dead, and
// waiting for it would take the caller's whole deadline.
func TestRepeatOfOwnPredecessorIsAnsweredAtOnce(t *testing.T) {
	for name, x := range map[string]struct {
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
			raw, err := logrec.Encode(KindClaim, "old", 0, Claim{
				Key: HashKey("acc", "k"), Request: body, Attempt: "old-1", Incarnation: "old", Address: x.address,
			})
			is.NoErr(err)
			is.NoErr(m.ApplyRecords(0, 0, platform.Batch{Next: 1, Records: []platform.Record{{Data: raw}}}))
			is.NoErr(m.Begin(time.Second, 1000, Request{ID: "r", Account: "acc", Key: "k", RequestHash: body, Deadline: time.Minute}))
			var got []State
			for _, a := range m.Ready(time.Second).Answers {
				got = append(got, a.State)
			}
			is.Equal(got, x.want)
		})
	}
}
