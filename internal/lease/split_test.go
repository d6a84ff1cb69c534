package lease

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/platform"
)

// splitLog has a holder in each of two domains.
func splitLog(t *testing.T) (*Table, func(body any) platform.Offset) {
	f := NewTable()
	apply := func(body any) platform.Offset {
		off := f.NextOffset()
		switch b := body.(type) {
		case Join:
			_ = f.Apply(0, off, encoded(t, KindJoin, b.Member.ID, b))
		case Acquire:
			_ = f.Apply(0, off, encoded(t, KindAcquire, b.Holder, b))
		case Renew:
			_ = f.Apply(0, off, encoded(t, KindRenew, b.Holder, b))
		case Split:
			_ = f.Apply(0, off, encoded(t, KindSplit, "a", b))
		}
		return off
	}
	for _, m := range []Member{{ID: "a", Domain: "d"}, {ID: "b", Domain: "e"}} {
		apply(Join{Member: m})
		apply(Acquire{Resource: MintSlot(m.Domain, 0), Holder: m.ID, Basis: BasisFree, ExpectedOffset: NoOffset})
	}
	return f, apply
}

func to(d, e uint16) Split {
	return Split{Accounts: []AccountSplit{{Account: "acct", Shares: []DomainShare{{"d", d}, {"e", e}}}}}
}

// Most of an account's rate moves to domain d. The holder in e is cut from the
// log and goes on by the old split. If d minted by the new one already, both
// together would mint more than the rate; so d waits until e has written that
// it has seen the split.
func TestSplitWaitsForEveryHolder(t *testing.T) {
	is := is.New(t)
	f, apply := splitLog(t)
	at := apply(to(800, 200))
	is.Equal(f.Share("acct", "d", 0.5), 0.5)
	is.Equal(f.Share("acct", "e", 0.5), 0.2)
	apply(Renew{Holder: "a", Leases: []Renewal{{Resource: MintSlot("d", 0), Token: 1}}, AppliedThrough: at})
	is.Equal(f.Share("acct", "d", 0.5), 0.5) // e may not know yet
	apply(Renew{Holder: "b", Leases: []Renewal{{Resource: MintSlot("e", 0), Token: 3}}, AppliedThrough: at - 1})
	is.Equal(f.Share("acct", "d", 0.5), 0.5) // written before it knew
	apply(Renew{Holder: "b", Leases: []Renewal{{Resource: MintSlot("e", 0), Token: 3}}, AppliedThrough: at + 1})
	is.Equal(f.Share("acct", "d", 0.5), 0.8)
	is.Equal(f.Share("acct", "e", 0.5), 0.2)
	is.Equal(f.Share("other", "d", 0.5), 0.5)
}

func TestVoidSplits(t *testing.T) {
	is := is.New(t)
	f, apply := splitLog(t)
	apply(to(800, 201)) // more than the whole
	is.True(!f.SplitPending())
	apply(Split{Accounts: []AccountSplit{{Account: "acct", Shares: []DomainShare{{"d", 400}, {"d", 400}}}}})
	is.True(!f.SplitPending()) // a domain twice
	apply(to(800, 200))
	apply(to(200, 800)) // another one is on its way
	is.Equal(f.Share("acct", "d", 0.5), 0.5)
	is.Equal(f.Share("acct", "e", 0.5), 0.2)
}

// An instance starts behind a trimmed log. If its checkpoint left out the
// split, it would mint an equal part where its domain has given most away.
func TestCheckpointKeepsSplits(t *testing.T) {
	is := is.New(t)
	f, apply := splitLog(t)
	apply(to(800, 200))
	c, ok := f.Checkpoint()
	is.True(ok)
	fresh := NewTable()
	fresh.HandleTrim(f.NextOffset())
	is.NoErr(fresh.Apply(0, f.NextOffset(), encoded(t, KindCheckpoint, "a", c)))
	is.Equal(fresh.Share("acct", "d", 0.5), 0.5)
	is.Equal(fresh.Share("acct", "e", 0.5), 0.2)
	is.True(fresh.SplitPending())
}
