package lease

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/platform"
)

// tableWithTwoDomains returns a table with a holder in each of two domains.
func tableWithTwoDomains(t *testing.T) (*Table, func(body any) platform.Offset) {
	table := NewTable()
	apply := func(body any) platform.Offset {
		off := table.NextOffset()
		switch b := body.(type) {
		case Join:
			_ = table.Apply(0, off, encodeEnvelope(t, KindJoin, b.Member.ID, b))
		case Acquire:
			_ = table.Apply(0, off, encodeEnvelope(t, KindAcquire, b.Holder, b))
		case Renew:
			_ = table.Apply(0, off, encodeEnvelope(t, KindRenew, b.Holder, b))
		case Split:
			_ = table.Apply(0, off, encodeEnvelope(t, KindSplit, "a", b))
		}
		return off
	}
	for _, m := range []Member{{ID: "a", Domain: "d"}, {ID: "b", Domain: "e"}} {
		apply(Join{Member: m})
		apply(Acquire{Resource: RateSlot(m.Domain, 0), Holder: m.ID, Basis: BasisFree, ExpectedOffset: NoOffset})
	}
	return table, apply
}

func splitTo(d, e uint16) Split {
	return Split{Accounts: []AccountSplit{{Account: "acct", Shares: []DomainShare{{"d", d}, {"e", e}}}}}
}

// Guards against issuing more than an account's rate while a split changes.
// Most of the rate moves to domain d, while the holder in e is partitioned from
// the log and goes on with the old split. So d must wait until the holder in e
// has written that it has applied the change.
func TestSplitWaitsForEveryHolder(t *testing.T) {
	is := is.New(t)
	table, apply := tableWithTwoDomains(t)
	at := apply(splitTo(800, 200))
	is.Equal(table.Share("acct", "d", 0.5), 0.5)
	is.Equal(table.Share("acct", "e", 0.5), 0.2)
	apply(Renew{Holder: "a", Leases: []Renewal{{Resource: RateSlot("d", 0), Token: 1}}, AppliedThrough: at})
	is.Equal(table.Share("acct", "d", 0.5), 0.5) // e may not have applied the split yet
	apply(Renew{Holder: "b", Leases: []Renewal{{Resource: RateSlot("e", 0), Token: 3}}, AppliedThrough: at - 1})
	is.Equal(table.Share("acct", "d", 0.5), 0.5) // written before e applied the split
	apply(Renew{Holder: "b", Leases: []Renewal{{Resource: RateSlot("e", 0), Token: 3}}, AppliedThrough: at + 1})
	is.Equal(table.Share("acct", "d", 0.5), 0.8)
	is.Equal(table.Share("acct", "e", 0.5), 0.2)
	is.Equal(table.Share("other", "d", 0.5), 0.5)
}

func TestInvalidSplitsAreIgnored(t *testing.T) {
	is := is.New(t)
	table, apply := tableWithTwoDomains(t)
	apply(splitTo(800, 201)) // more than the whole rate
	is.True(!table.SplitPending())
	apply(Split{Accounts: []AccountSplit{{Account: "acct", Shares: []DomainShare{{"d", 400}, {"d", 400}}}}})
	is.True(!table.SplitPending()) // a domain twice
	apply(splitTo(800, 200))
	apply(splitTo(200, 800)) // another split is pending
	is.Equal(table.Share("acct", "d", 0.5), 0.5)
	is.Equal(table.Share("acct", "e", 0.5), 0.2)
}

// Guards against a checkpoint without the splits. An instance that restores it
// after the log was trimmed would issue an equal share although its domain has
// given most of it away.
func TestCheckpointKeepsSplits(t *testing.T) {
	is := is.New(t)
	table, apply := tableWithTwoDomains(t)
	apply(splitTo(800, 200))
	c, ok := table.Checkpoint()
	is.True(ok)
	fresh := NewTable()
	fresh.HandleTrim(table.NextOffset())
	is.NoErr(fresh.Apply(0, table.NextOffset(), encodeEnvelope(t, KindCheckpoint, "a", c)))
	is.Equal(fresh.Share("acct", "d", 0.5), 0.5)
	is.Equal(fresh.Share("acct", "e", 0.5), 0.2)
	is.True(fresh.SplitPending())
}
