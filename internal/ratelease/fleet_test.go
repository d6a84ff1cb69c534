package ratelease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

const (
	testStep           = 5 * time.Millisecond
	logReadInterval    = 100 * time.Millisecond // between two reads of the log by a process
	testSlotsPerDomain = 2
	testFloorFraction  = 0.25
)

type event struct {
	at  time.Duration
	seq int
	to  *process // receiver; nil for events at no process
	do  func()
}

type admission struct {
	at     time.Duration
	tokens float64
}

type process struct {
	id, domain, addr string
	clockRate        float64
	started          time.Duration
	suspended, dead  bool
	logOffset        platform.Offset
	logReadAt        time.Duration
	splitSeen        int
	limiter          *Limiter
	leases           *lease.Holder
}

// fleet simulates limiters and lease holders on one event queue: with a fake
// log, links with delays and failures, processes that die, are suspended and
// restart, and clocks that drift.
type fleet struct {
	rng             *rand.Rand
	now             time.Duration
	stepLen         time.Duration
	leaseHold       time.Duration
	log             [][]byte
	logDown         bool
	logCut          map[string]bool // by domain
	linkCut         map[string]bool // by domain
	procs           []*process
	events          []event
	seq             int
	rate, burst     float64
	limitScale      float64   // current limits as a fraction of rate and burst
	demand          []float64 // probability of a request per step, by process
	cost            func(*rand.Rand) float64
	admitted        []*admission
	offered         int
	lossProbability float64 // of a message or an answer
	slowProbability float64 // of a long delay
	maxSpendable    float64 // largest number of spendable tokens seen
	refused         int
	messages        int  // sent over links
	useAllTokens    bool // requests use all of their tokens
}

func newFleet(seed uint64, domains, perDomain int, r, b float64, hold time.Duration) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), logCut: map[string]bool{}, linkCut: map[string]bool{},
		rate: r, burst: b, limitScale: 1, stepLen: testStep, leaseHold: hold,
		cost: func(g *rand.Rand) float64 { return b * (0.01 + 0.3*g.Float64()) },
	}
	for i := range domains * perDomain {
		f.procs = append(f.procs, &process{domain: fmt.Sprintf("d%d", i/perDomain), addr: fmt.Sprintf("a%d", i)})
		f.demand = append(f.demand, 0)
		f.start(i)
	}
	return f
}

// start replaces process i by a new incarnation.
func (f *fleet) start(i int) {
	old := f.procs[i]
	old.dead = true
	p := &process{
		id: fmt.Sprintf("%s#%d", old.addr, f.seq), domain: old.domain, addr: old.addr,
		clockRate: 1 + 0.001*(2*f.rng.Float64()-1), started: f.now,
	}
	f.seq++
	f.procs[i] = p
	f.boot(p)
}

func (f *fleet) boot(p *process) {
	p.limiter = New(DefaultSettings(p.id))
	p.limiter.SetAccount(0, "acct", f.limitScale*f.rate, f.limitScale*f.burst)
	var wanted []lease.Resource
	for s := range testSlotsPerDomain {
		wanted = append(wanted, lease.RateSlot(p.domain, s))
	}
	set := lease.DefaultSettings(lease.Member{ID: p.id, Domain: p.domain, Address: p.addr}, wanted)
	set.TTL, set.RenewInterval, set.PromiseTime = 3*time.Second, time.Second, 3*time.Second
	set.Margin, set.HoldTime = 200*time.Millisecond, f.leaseHold
	p.leases = lease.NewHolder(set)
}

func (f *fleet) clock(p *process) time.Duration {
	return time.Duration(float64(f.now-p.started) * p.clockRate)
}

func (f *fleet) schedule(after time.Duration, to *process, do func()) {
	f.seq++
	f.events = append(f.events, event{at: f.now + after, seq: f.seq, to: to, do: do})
}

// delay returns the delay of one message.
func (f *fleet) delay() time.Duration {
	if f.rng.Float64() < f.slowProbability {
		return time.Duration(f.rng.Int64N(int64(3 * time.Second)))
	}
	return time.Millisecond + time.Duration(f.rng.Int64N(int64(time.Millisecond)))
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += f.stepLen {
		f.deliver()
		for i, p := range f.procs {
			if !p.dead && !p.suspended {
				f.step(p, f.demand[i])
			}
		}
		f.maxSpendable = max(f.maxSpendable, f.spendable())
	}
}

// spendable returns the tokens that all processes together could spend now; for
// a suspended process, those it could spend right after it resumes.
func (f *fleet) spendable() float64 {
	sum := 0.0
	for _, p := range f.procs {
		if a := p.limiter.accounts["acct"]; !p.dead {
			p.limiter.advanceShare(f.clock(p))
			p.limiter.advance(a, f.clock(p))
			sum += max(0, a.bucket.available())
		}
	}
	return sum
}

// deliver runs the events that are due; those of a suspended process wait until
// it resumes.
func (f *fleet) deliver() {
	due := f.events[:0:0]
	kept := f.events[:0:0]
	for _, e := range f.events {
		switch {
		case e.to != nil && e.to.dead:
		case e.at > f.now || (e.to != nil && e.to.suspended):
			kept = append(kept, e)
		default:
			due = append(due, e)
		}
	}
	f.events = kept
	slices.SortFunc(due, func(a, b event) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
	for _, e := range due {
		e.do()
	}
}

// step runs one turn of a process: it maintains its leases and serves requests.
func (f *fleet) step(p *process, demand float64) {
	if p.logReadAt == 0 || f.now-p.logReadAt >= logReadInterval {
		p.logReadAt = f.now
		f.keepLeases(p)
	}
	if f.rng.Float64() < demand {
		f.request(p, f.cost(f.rng))
	}
	f.tick(p)
}

// keepLeases reads the log and passes the lease states to the limiter.
func (f *fleet) keepLeases(p *process) {
	now := f.clock(p)
	if f.logReachable(p) {
		for ; int(p.logOffset) < len(f.log); p.logOffset++ {
			env, err := logrec.Decode(f.log[p.logOffset])
			if err == nil {
				_ = p.leases.Apply(now, p.logOffset, env)
			}
		}
		p.leases.MarkCaughtUp()
	}
	if v := p.leases.Table().SplitVersion(); v != p.splitSeen {
		p.splitSeen = v
		p.limiter.SetFactors(now, FactorsOf(p.leases.Table(), p.domain, len(f.domains())))
	}
	work := p.leases.Tick(now)
	for _, rec := range work.Records {
		f.append(p, rec)
	}
	for _, req := range work.PromiseRequests {
		f.requestPromise(p, req)
	}
	slots := testSlotsPerDomain * len(f.domains())
	p.limiter.SetAllocations(now, AllocationsOf(p.leases.Grants(now), slots, testFloorFraction))
	p.limiter.SetPeers(f.peersOf(p, slots))
}

func (f *fleet) domains() []string {
	var list []string
	for _, p := range f.procs {
		if !slices.Contains(list, p.domain) {
			list = append(list, p.domain)
		}
	}
	return list
}

func (f *fleet) peersOf(p *process, slots int) []Peer {
	var peers []Peer
	for _, o := range f.procs {
		if o != p {
			peers = append(peers, Peer{
				ID: o.addr, SameDomain: o.domain == p.domain, Share: ShareOf(p.leases.Table(), o.id, slots),
				Factors: FactorsOf(p.leases.Table(), o.domain, len(f.domains())),
			})
		}
	}
	return peers
}

// planSplit lets one process plan the split with the current demands of all
// others.
func (f *fleet) planSplit(p *process) {
	domainOf := map[string]string{}
	for _, o := range f.procs {
		if o != p && !f.linked(p, o) {
			return
		}
		if o != p {
			domainOf[o.addr] = o.domain
			p.limiter.HandleHints(f.clock(p), o.addr, o.limiter.Hints(f.clock(o)))
		}
	}
	s := PlanSplit(p.leases.Table(), f.domains(), p.limiter.DomainDemand(f.clock(p), p.domain, domainOf))
	if len(s.Accounts) > 0 {
		f.append(p, lease.Record{Kind: lease.KindSplit, Body: s})
	}
}

func (f *fleet) request(p *process, cost float64) {
	f.offered++
	now := f.clock(p)
	out := p.limiter.Admit(now, "acct", cost, now+time.Second)
	if !out.Waiting {
		f.handleOutcome(p, out)
	}
}

// handleOutcome dispatches an admitted request at once or, after a suspension,
// not at all. The request ends some time later and leaves a part of its tokens
// unused.
func (f *fleet) handleOutcome(p *process, out Outcome) {
	if out.Err != nil {
		f.refused++
		return
	}
	res, adm := out.Reservation, &admission{at: f.now, tokens: out.Reservation.Tokens}
	f.admitted = append(f.admitted, adm)
	used := res.Tokens * (0.3 + 0.7*f.rng.Float64())
	if f.useAllTokens {
		return
	}
	f.schedule(time.Millisecond, p, func() {
		if !p.limiter.Confirm(f.clock(p), res) {
			p.limiter.Settle(f.clock(p), &res, 0)
			adm.tokens = 0
		}
	})
	f.schedule(time.Duration(f.rng.Int64N(int64(2*time.Second))), p, func() {
		if res.Account != "" {
			p.limiter.Settle(f.clock(p), &res, used)
			adm.tokens = used
		}
	})
}

// lowestLevel returns the lowest level of a single bucket with the account's
// rate and burst that all admissions are taken from. Below zero, some window
// held too much.
func (f *fleet) lowestLevel() (level float64, at time.Duration) {
	slices.SortStableFunc(f.admitted, func(a, b *admission) int { return int(a.at - b.at) })
	level, fill, last := f.burst, f.burst, time.Duration(0)
	for _, a := range f.admitted {
		fill = min(f.burst, fill+f.rate*(a.at-last).Seconds()) - a.tokens
		last = a.at
		if fill < level {
			level, at = fill, a.at
		}
	}
	return level, at
}
