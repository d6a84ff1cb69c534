package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mastictray/mastictray/internal/admission"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/ratecount"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// startContendedGateway starts a gateway with two targets that prefill 1,000 tokens a second
// each.
func startContendedGateway(t *testing.T) *testGateway {
	t.Helper()
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	p.settings.Features.Contention = true
	p.contention = newContention(p.Gateway)
	pool := p.engineServiceFor("engines").pool
	for i := range pool.Len() {
		pool.Target(i).PrefillTokensPerSecond = 1000
	}
	return p
}

func contendedCall(p *testGateway, account string, priority, tokens int, fingerprint uint64) *call {
	return &call{
		Request:   &Request{Prompt: &Prompt{Tokens: tokens, Pieces: []Piece{{Tokens: tokens}}}},
		route:     &routing.Route{Kind: routing.Stream, Priority: priority},
		service:   &routing.Service{Name: "engines", Engine: &routing.Engine{}},
		account:   &routing.Account{Name: account, Rate: 100},
		startedAt: p.clock.Now(), deadline: p.clock.Now() + time.Minute, fingerprint: fingerprint,
	}
}

func (p *testGateway) exchangeDemand(peer string, rows []wire.AccountDemand) {
	now := p.clock.Now()
	p.publishedState()
	p.applyPeerChanges(now, []replica.Change{{Identity: wire.Identity{Instance: peer, Incarnation: peer}, At: now, State: wire.InstanceState{Demand: rows}}})
	p.applyFleetState(now, 2, minUpdateMaxAge, exchangeInterval, nil, nil, nil)
}

// Guards against a part that acts on a deployment which doesn't call for it.
func TestWithoutContentionNothingIsMeasuredOrRefused(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	c := contendedCall(p, "acc", 0, 1e6, 1)
	p.exchangeDemand("b", []wire.AccountDemand{{TokensPerSecond: 1e9}})
	is.Equal(p.admitToService(c), nil)
	p.contention.beginWait(c.admission)()
	p.contention.observeFirstToken(c.admission, nil, 0)
	p.contention.observeEnd(c.admission, overload.Succeeded, 1)
	is.Equal(c.admission, nil)
	is.Equal(len(c.admission.logFields()), 0)
	state, _ := p.publishedState()
	is.Equal(len(state.Demand), 0)
	is.Equal(p.accountWeight(&call{account: &routing.Account{Name: "unlimited"}}), 0.0)
}

// Guards against serving less urgent requests while another instance's urgent callers lack room:
// their demand is known here, and the less urgent are refused with the figures in the log.
func TestLessUrgentYieldToUrgentCallersOfOtherInstances(t *testing.T) {
	is := is.New(t)
	p := startContendedGateway(t)
	p.exchangeDemand("b", nil) // before the first request, all is admitted
	for id := range uint64(20) {
		is.Equal(p.admitToService(contendedCall(p, "acc", 3, 100, id+1)), nil)
	}
	p.exchangeDemand("b", []wire.AccountDemand{{Account: "other", Urgency: 0, TokensPerSecond: 1300}})
	refused := 0
	for id := range uint64(20) {
		c := contendedCall(p, "acc", 3, 100, 100+id)
		if refusal := p.admitToService(c); refusal != nil {
			refused++
			is.Equal(refusal.Reason, "no_room")
			is.True(refusal.NotRun && refusal.RetryAfter >= 400*time.Millisecond)
			is.Equal(p.admitToService(c), refusal) // the decision on a call is made once
			is.True(len(c.admission.logFields()) > 0)
			is.Equal(c.admission.state.Resource, admission.Prefill)
		}
	}
	is.True(refused >= 10 && refused < 20)
	is.Equal(p.admitToService(contendedCall(p, "acc", 0, 100, 999)), nil)
	resumed := contendedCall(p, "acc", 9, 100, 1000)
	resumed.LastEventID = "4"
	is.Equal(p.admitToService(resumed), nil)
}

// Guards against counting the demand of an earlier process of this instance.
func TestOwnEarlierReportIsIgnored(t *testing.T) {
	is := is.New(t)
	p := startContendedGateway(t)
	p.exchangeDemand("a", []wire.AccountDemand{{TokensPerSecond: 1e6}})
	is.Equal(p.contention.services["engines"].controller.State().Reporting, 1)
	is.Equal(p.contention.services["engines"].controller.State().Asked, 0.0)
}

func TestAccountWeights(t *testing.T) {
	is := is.New(t)
	w := accountWeights([]routing.Account{{Name: "a", Rate: 100}, {Name: "b", Rate: 300}, {Name: "unlimited"}})
	is.Equal(w.Default, 200.0)
	is.Equal(w.Total, 600.0)
	is.Equal(accountWeights(nil).Default, 1.0)
}

// Guards against rows of demand that crowd the exchanges of a large fleet: the fullest report
// stays under 600 bytes, whatever the number of accounts.
func TestDemandReportIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	p := startContendedGateway(t)
	for range 2 { // the service is known after the first exchange
		p.exchangeDemand("b", []wire.AccountDemand{{TokensPerSecond: 1e6}})
	}
	for id := range uint64(5000) {
		p.admitToService(contendedCall(p, fmt.Sprintf("account-%04d", id%1000), int(id%3), 9000, id+1))
	}
	rows := p.contention.report()
	is.Equal(len(rows), admission.MaxNamedRows+3)
	raw, err := msgpack.Marshal(rows)
	is.NoErr(err)
	t.Log(len(raw))
	is.True(len(raw) < 600)
}

// Guards against an account over its rate whose peers don't learn what its urgent callers ask for.
func TestDemandOfAccountOverItsRateIsPublished(t *testing.T) {
	is := is.New(t)
	p := startContendedGateway(t)
	p.accountLimiter.SetLimits(p.clock.Now(), map[string]ratecount.Limit{"acc": {Rate: 100, Burst: 100}})
	c := contendedCall(p, "acc", 1, 500, 1)
	c.chargedTokens = 500
	_, ok := p.chargeAccount(c) // a new bucket is empty
	is.True(!ok)
	state, _ := p.publishedState()
	rows := fromWireRateDemand(state.Demand)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Account, "acc")
	is.Equal(rows[0].Urgency, contendedUrgency(c))
	is.True(rows[0].TokensPerSecond > 0)
}

// Guards against serving a less urgent route before a more urgent one because their accounts have
// the same priority: an account's own setting decides first, then the route's.
func TestRoutesRankRequestsOfEqualAccounts(t *testing.T) {
	is := is.New(t)
	newCall := func(account *routing.Account, route int) *call {
		return &call{account: account, route: &routing.Route{Priority: route}}
	}
	first, second := &routing.Account{HasPriority: true}, &routing.Account{HasPriority: true, Priority: 1}
	order := []*call{newCall(first, 0), newCall(first, 2), newCall(second, 0), newCall(second, 2), newCall(nil, 2)}
	for i := range order[1:] {
		is.True(contendedUrgency(order[i]) < contendedUrgency(order[i+1]))
	}
	is.Equal(contendedUrgency(newCall(&routing.Account{HasPriority: true, Priority: 9}, 2)), fairqueue.MaxPriority)

	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "a")
	is.Equal(p.urgency(newCall(second, 2)), 1) // where the deployment doesn't call for it
	is.Equal(p.urgency(newCall(nil, 2)), 2)
}
