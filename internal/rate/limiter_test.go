package rate

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// full is an instance that alone mints everything from time 0 on.
func full(name string) *Limiter {
	l := New(DefaultSettings(name))
	l.SetParts(0, []Part{{Fraction: 1, Since: -time.Second, Until: time.Hour}})
	l.SetAccount(0, "acct", 1000, 5000)
	return l
}

func TestAdmitWithinRate(t *testing.T) {
	is := is.New(t)
	l := full("i1")
	now := 10 * time.Second
	out := l.Admit(now, "acct", 4000, now)
	is.NoErr(out.Err)
	is.True(!out.Waiting)
	is.Equal(out.Reservation.Tokens, 4000.0)
	is.True(errors.Is(l.Admit(now, "acct", 5001, now).Err, ErrTooLarge))
	is.True(errors.Is(l.Admit(now, "nobody", 1, now).Err, ErrUnknownAccount))
}

func TestWaitThenAdmitOrRefuse(t *testing.T) {
	is := is.New(t)
	l := full("i1")
	now := 10 * time.Second
	l.Admit(now, "acct", 5000, now)
	soon := l.Admit(now, "acct", 100, now+time.Second)
	late := l.Admit(now, "acct", 4000, now+time.Second)
	is.True(soon.Waiting && late.Waiting)
	now += 200 * time.Millisecond
	done := l.Tick(now).Done
	is.Equal(len(done), 1)
	is.Equal(done[0].Ticket, soon.Ticket)
	is.NoErr(done[0].Err)
	now += 100 * time.Millisecond
	done = l.Tick(now).Done
	is.Equal(done[0].Ticket, late.Ticket)
	is.True(errors.Is(done[0].Err, ErrOverRate))
	is.True(done[0].RetryAfter > 3*time.Second)
}

func TestRefundClampsToRoomSinceDebit(t *testing.T) {
	is := is.New(t)
	l := full("i1")
	now := 10 * time.Second
	first := l.Admit(now, "acct", 4000, now).Reservation
	now += time.Second // 2000 minted and kept, room for 3000
	l.Settle(now, &first, 1000)
	is.True(l.accounts["acct"].bucket.balance > 4990)
	// A second one finds the bucket full in between: nothing comes back.
	second := l.Admit(now, "acct", 2000, now).Reservation
	now += 10 * time.Second
	l.Hints(now)
	third := l.Admit(now, "acct", 5000, now)
	is.NoErr(third.Err)
	l.Settle(now, &second, 0)
	is.Equal(l.accounts["acct"].bucket.balance, 0.0)
}

func TestTransferMovesTokensOnce(t *testing.T) {
	is := is.New(t)
	a, b := full("a"), New(DefaultSettings("b"))
	b.SetAccount(0, "acct", 1000, 5000)
	b.SetPeers([]Peer{{ID: "a", Share: 1}})
	now := 10 * time.Second
	out := b.Admit(now, "acct", 3000, now+time.Second)
	is.True(out.Waiting)
	asks := b.Tick(now).Asks
	is.Equal(len(asks), 1)
	g := a.HandleAsk(now, asks[0].Body)
	b.HandleGrant(now, "a", asks[0].ID, g)
	done := b.Tick(now).Done
	is.Equal(len(done), 1)
	is.NoErr(done[0].Err)
	is.Equal(a.accounts["acct"].bucket.balance, 2000.0)
	// What b did not use goes back to a, as b mints nothing itself.
	b.Settle(now, &done[0].Reservation, 1000)
	ret := b.Tick(now).Returns
	is.Equal(len(ret), 1)
	a.HandleReturn(now, ret[0].Body)
	is.Equal(a.accounts["acct"].bucket.balance, 4000.0)
}
