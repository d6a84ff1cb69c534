package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/platform"
)

// Guards against a slot that nobody can take over. A member joins, and the
// holder of a slot fails within its renewal period. Only members that the
// holder had applied when it wrote its last record may take over before the
// hold time of six hours has passed, and callers would be refused meanwhile. So
// the holder renews soon after it has applied a join.
func TestHolderRenewsSoonForANewMember(t *testing.T) {
	is := is.New(t)
	a := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	h := NewHolder(DefaultSettings(a, []Resource{slot}))
	log := logWithHeldSlot(t)[:2]
	for i, e := range log {
		is.NoErr(h.Apply(time.Second, platform.Offset(i), e))
	}
	h.MarkCaughtUp()
	h.Tick(time.Second)
	is.Equal(len(renewals(h.Tick(time.Second+h.settings.RenewInterval/joinRenewDivisor))), 0)

	b := Member{ID: "b", Domain: "d", Address: "10.0.0.2:1"}
	is.NoErr(h.Apply(time.Second, 2, encodeEnvelope(t, KindJoin, "b", Join{Member: b})))
	soon := time.Second + h.settings.RenewInterval/joinRenewDivisor
	got := renewals(h.Tick(soon))
	is.Equal(len(got), 1)
	is.Equal(got[0].AppliedThrough, platform.Offset(2))
	is.Equal(len(renewals(h.Tick(soon+h.settings.RenewInterval/joinRenewDivisor))), 0) // once
}

func renewals(actions Actions) []Renew {
	var list []Renew
	for _, rec := range actions.Records {
		if body, ok := rec.Body.(Renew); ok {
			list = append(list, body)
		}
	}
	return list
}
