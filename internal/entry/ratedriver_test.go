package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// acquireLease runs a holder on a log of its own until it holds the lease, and
// returns the records that it wrote.
func acquireLease(t *testing.T, m lease.Member, r lease.Resource) []platform.Record {
	t.Helper()
	is := is.New(t)
	var records []platform.Record
	h := lease.NewHolder(lease.DefaultSettings(m, []lease.Resource{r}))
	h.MarkCaughtUp()
	for now := time.Second; !h.Valid(now, r); now += 100 * time.Millisecond {
		is.True(now < time.Minute) // a free lease must be acquired
		for _, rec := range h.Tick(now).Records {
			data, err := logrec.Encode(rec.Kind, m.ID, 0, rec.Body)
			is.NoErr(err)
			off := platform.Offset(len(records))
			records = append(records, platform.Record{Offset: off, Data: data})
			env, err := logrec.Decode(data)
			is.NoErr(err)
			is.NoErr(h.Apply(now, off, env))
		}
	}
	return records
}

// An instance without a lease knows its peers before one of them acquires a rate
// slot. Its next request is within the account's rate but needs that peer's
// tokens. If the instance still assumed that all peers issue the same share, it would
// request a part of the tokens from each, get only one part and refuse the request.
func TestTokenRequestsGoToPeerThatTookLeaseLater(t *testing.T) {
	is := is.New(t)
	self := wire.Identity{Instance: "a", Incarnation: "a-1", Domain: "d", Address: "127.0.0.1:1"}
	noLease := wire.Identity{Instance: "b", Incarnation: "b-1", Domain: "d", Address: "127.0.0.1:2"}
	newHolder := wire.Identity{Instance: "c", Incarnation: "c-1", Domain: "d", Address: "127.0.0.1:3"}
	node := peer.NewNode(peer.Options{Self: self})
	defer node.Close()
	d := newRateDriver(newClock(), node, nil, fleetLayout{domains: []string{"d"}, slotsPerDomain: 1})
	d.limiter.SetAccount(d.clock.now(), "acc", 1000, 1000)
	d.setPeers([]wire.Identity{noLease, newHolder})

	member := lease.Member{ID: newHolder.Incarnation, Domain: newHolder.Domain, Address: newHolder.Address}
	records := acquireLease(t, member, lease.RateSlot("d", 0))
	is.NoErr(d.handleBatch(platform.Batch{Next: platform.Offset(len(records)), Records: records}))

	now := d.clock.now() + time.Second
	o := d.limiter.Admit(now, "acc", 100, time.Hour)
	is.True(o.Waiting)
	requests := d.limiter.Tick(now).TokenRequests
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Peer, newHolder.Address)
	is.Equal(requests[0].Body.Items[0].Tokens, 101.0) // the cost plus one token against rounding
}

// Instances regularly restart with other addresses. The share reported from an
// address must be removed together with the peer; otherwise the maps would grow until
// the process ends.
func TestPeerSharesArePrunedWithPeers(t *testing.T) {
	is := is.New(t)
	remaining := wire.Identity{Instance: "b", Domain: "d", Address: "127.0.0.1:2"}
	removed := wire.Identity{Instance: "c", Domain: "d", Address: "127.0.0.1:3"}
	node := peer.NewNode(peer.Options{Self: wire.Identity{Instance: "a", Domain: "d", Address: "127.0.0.1:1"}})
	defer node.Close()
	d := newRateDriver(newClock(), node, nil, fleetLayout{domains: []string{"d"}, slotsPerDomain: 1})
	d.setPeers([]wire.Identity{remaining, removed})
	for _, from := range []wire.Identity{remaining, removed} {
		d.handleHeartbeat(wire.Heartbeat{From: from, RateShare: 0.5})
	}
	d.setPeers([]wire.Identity{remaining})
	is.Equal(d.peerShares, map[string]float64{remaining.Address: 0.5})
	is.Equal(len(d.heartbeatAt), 1)
}
