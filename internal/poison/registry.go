package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// Verdict says how a request goes on.
type Verdict string

// The verdicts.
const (
	// Run: dispatch it like any other request.
	Run Verdict = "run"
	// Isolate: dispatch it to the given target only.
	Isolate Verdict = "isolate"
	// Wait: a later Decision tells.
	Wait Verdict = "wait"
	// Retry: its target crashed; call Admit again if it may be repeated.
	Retry Verdict = "retry"
	// Quarantined: it crashed too many targets. It may have run; it must not
	// be sent again.
	Quarantined Verdict = "quarantined"
	// Refused: no permit to run a suspect could be had in time.
	Refused Verdict = "refused"
)

// Decision is a verdict on one request of this instance.
type Decision struct {
	Request string
	Verdict Verdict
	// Target is set with Isolate.
	Target string
}

// Message is for a peer, by its incarnation.
type Message struct {
	To   string
	Kind wire.Kind
	Body any
}

// Ready is the work that a Registry hands out.
type Ready struct {
	Messages  []Message
	Decisions []Decision
}

// request is one of this instance's.
type request struct {
	id     string
	fp     Fingerprint
	target string
	pool   string
	// home is set while the request asks for, or holds, a permit.
	home    string
	permit  bool
	targets []string
	askBy   time.Duration
	// heldFor is the notice whose acks the request waits for.
	heldFor uint64
}

// notice is one that peers have yet to take in.
type notice struct {
	waiting map[string]bool
	until   time.Duration
}

// Registry is one instance's view. It is not safe for concurrent use.
type Registry struct {
	cfg      Config
	ledger   *ledger
	home     *home
	peers    []string
	requests map[string]*request
	notices  map[uint64]*notice
	nextID   uint64
	nextHold time.Duration
	out      Ready
	stats    Stats
}

// Stats counts what happened. All counts go up only.
type Stats struct {
	Crashes     int64
	Quarantined int64
	Isolated    int64
	Cleared     int64
	Refused     int64
	Messages    int64
}

// New makes a registry that knows nothing.
func New(cfg Config) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{
		cfg: cfg, ledger: newLedger(cfg), home: newHome(cfg),
		requests: map[string]*request{}, notices: map[uint64]*notice{},
	}
}

// Ready returns the pending work and clears it. Call it after every event.
func (r *Registry) Ready() Ready {
	out := r.out
	r.out = Ready{}
	r.stats.Messages += int64(len(out.Messages))
	return out
}

// Stats returns the counts.
func (r *Registry) Stats() Stats { return r.stats }

// Suspects is how many fingerprints are remembered.
func (r *Registry) Suspects() int { return len(r.ledger.suspects) }

// SetPeers gives the live peers: those that learn of crashes and, with this
// instance, share the pools' suspects out among themselves.
func (r *Registry) SetPeers(now time.Duration, peers []string) {
	sorted := slices.Sorted(slices.Values(peers))
	if slices.Equal(sorted, r.peers) {
		return
	}
	r.peers = sorted
	r.home.settled = now + r.cfg.PermitTTL/2
	for _, n := range r.notices {
		for p := range n.waiting {
			if !slices.Contains(r.peers, p) {
				delete(n.waiting, p)
			}
		}
	}
	r.keepAlive(now)
	r.blameOrphans(now)
	r.release(now)
}

// Admit asks whether a request may be dispatched to its pool; targets are
// those it could run on, the best first. After Run, call Started.
func (r *Registry) Admit(now time.Duration, id string, fp Fingerprint, pool string, targets []string) Verdict {
	q := &request{id: id, fp: fp, pool: pool, targets: targets, askBy: now + r.cfg.AskBound}
	switch {
	case r.ledger.quarantined(now, fp):
		r.stats.Quarantined++
		return Quarantined
	case r.ledger.suspicion(fp) == 0:
		r.requests[id] = q
		return Run
	}
	r.requests[id] = q
	r.ask(now, q)
	return Wait
}

func (r *Registry) ask(now time.Duration, q *request) {
	q.home = homeOf(q.pool, r.cfg.Self, r.peers)
	body := wire.PoisonPermitRequest{Request: q.id, Fingerprint: q.fp[:], Targets: q.targets}
	r.send(now, q.home, wire.KindPoisonPermitRequest, body)
}

// Started tells that an admitted request goes to a target, before its first
// byte.
func (r *Registry) Started(id, target string) {
	if q := r.requests[id]; q != nil {
		q.target = target
	}
}

// Running registers a request that went to its target while nothing was
// suspected, so that Admit was left out: the fingerprint of a long prompt costs
// more than all the rest of a request's way. Call it before Crashed names it.
func (r *Registry) Running(id string, fp Fingerprint, pool, target string, targets []string) {
	r.requests[id] = &request{id: id, fp: fp, pool: pool, targets: targets, target: target}
}

// Ended tells that a request is over, other than by its target's crash.
// completed says that its target answered it whole.
func (r *Registry) Ended(now time.Duration, id string, completed bool) {
	q := r.requests[id]
	if q == nil || q.heldFor != 0 {
		return
	}
	delete(r.requests, id)
	if completed {
		r.exonerate(now, q.fp)
	}
	r.done(now, q, nil)
}

// exonerate clears a fingerprint of the crashes known so far: a request that
// completed did not crash its target.
func (r *Registry) exonerate(now time.Duration, fp Fingerprint) {
	var body wire.PoisonNotice
	for _, id := range r.ledger.open(fp) {
		r.ledger.clear(now, fp, id)
		body.Exonerations = append(body.Exonerations, wire.PoisonExoneration{
			Fingerprint: fp[:], Target: id.Target, Incarnation: id.Incarnation,
		})
	}
	if len(body.Exonerations) > 0 {
		r.stats.Cleared++
		r.broadcast(now, body)
	}
}

// done gives a permit back, or takes back an ask.
func (r *Registry) done(now time.Duration, q *request, c *wire.PoisonCrash) {
	if q.home == "" {
		return
	}
	body := wire.PoisonPermitRelease{Request: q.id, Fingerprint: q.fp[:], Target: q.target, Crash: c}
	if !q.permit {
		body.Target = ""
	}
	r.send(now, q.home, wire.KindPoisonPermitRelease, body)
	q.home, q.permit = "", false
}

func (r *Registry) sorted() []*request {
	out := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (r *Registry) decide(q *request, v Verdict, target string) {
	switch v {
	case Quarantined:
		r.stats.Quarantined++
	case Isolate:
		r.stats.Isolated++
	case Refused:
		r.stats.Refused++
	}
	r.out.Decisions = append(r.out.Decisions, Decision{Request: q.id, Verdict: v, Target: target})
}

// Tick moves the time on: holds end, permits are kept alive, old entries go.
func (r *Registry) Tick(now time.Duration) {
	r.ledger.expire(now)
	r.release(now)
	for _, q := range r.sorted() {
		if q.home != "" && !q.permit && now >= q.askBy {
			delete(r.requests, q.id)
			r.done(now, q, nil)
			r.decide(q, Refused, "")
		}
	}
	if now >= r.nextHold {
		r.nextHold = now + r.cfg.PermitTTL/3
		r.keepAlive(now)
	}
	r.home.tick(now)
	r.home.review(now, r)
}

// keepAlive repeats holds, and asks that have no answer yet: a home that was
// replaced knows neither.
func (r *Registry) keepAlive(now time.Duration) {
	for _, q := range r.sorted() {
		switch {
		case q.permit:
			q.home = homeOf(q.pool, r.cfg.Self, r.peers)
			r.send(now, q.home, wire.KindPoisonPermitRenewal, wire.PoisonPermitRenewal{Fingerprint: q.fp[:], Target: q.target})
		case q.home != "":
			r.ask(now, q)
		}
	}
}
