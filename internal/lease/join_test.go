package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/platform"
)

// A member joins, and the holder of a slot is lost within its renewal period. If
// its last record had not seen the join, nobody in the domain could take the
// slot over for the hold time of six hours, and callers would be refused. So it
// renews soon after it has folded the join.
func TestHolderRenewsSoonForANewMember(t *testing.T) {
	is := is.New(t)
	a := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	h := NewHolder(DefaultSettings(a, []Resource{slot}))
	log := heldLog(t)[:2]
	for i, e := range log {
		is.NoErr(h.Apply(time.Second, platform.Offset(i), e))
	}
	h.MarkCaughtUp()
	h.Tick(time.Second)
	is.Equal(len(renewals(h.Tick(time.Second+h.settings.RenewInterval/joinGap))), 0)

	b := Member{ID: "b", Domain: "d", Address: "10.0.0.2:1"}
	is.NoErr(h.Apply(time.Second, 2, encoded(t, KindJoin, "b", Join{Member: b})))
	soon := time.Second + h.settings.RenewInterval/joinGap
	got := renewals(h.Tick(soon))
	is.Equal(len(got), 1)
	is.Equal(got[0].AppliedThrough, platform.Offset(2))
	is.Equal(len(renewals(h.Tick(soon+h.settings.RenewInterval/joinGap))), 0) // once
}

func renewals(r Actions) []Renew {
	var list []Renew
	for _, rec := range r.Records {
		if body, ok := rec.Body.(Renew); ok {
			list = append(list, body)
		}
	}
	return list
}
