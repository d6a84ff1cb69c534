package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// Verdict tells how to proceed with a request.
type Verdict string

// Verdicts.
const (
	// Run means: dispatch the request like any other.
	Run Verdict = "run"
	// Isolate means: dispatch the request to the given target only.
	Isolate Verdict = "isolate"
	// Wait means: a later Decision follows.
	Wait Verdict = "wait"
	// Retry means: the target crashed; call Admit again if the request may be
	// repeated.
	Retry Verdict = "retry"
	// Quarantined means: the request was present at too many crashes. It may have
	// run and must not be sent again.
	Quarantined Verdict = "quarantined"
	// Refused means: the request is a suspect and got no permit in time.
	Refused Verdict = "refused"
)

// Decision is the verdict on one request of this instance.
type Decision struct {
	Request string
	Verdict Verdict
	// Target is set if Verdict is Isolate.
	Target string
}

// Message is a message to a peer; To is the peer's incarnation.
type Message struct {
	To   string
	Kind wire.Kind
	Body any
}

// Ready holds the messages to send and the decisions made since the last call of
// Registry.Ready.
type Ready struct {
	Messages  []Message
	Decisions []Decision
}

// request is a request that this instance is handling.
type request struct {
	id     string
	fp     Fingerprint
	target string
	pool   string
	// home is set while the request waits for or holds a permit.
	home           string
	hasPermit      bool
	targets        []string
	permitDeadline time.Duration
	// awaitedNotice is the id of the notice whose acks the request waits for; 0 if
	// none.
	awaitedNotice uint64
}

// notice is a notice that some peers have not acknowledged yet.
type notice struct {
	unacked  map[string]bool
	deadline time.Duration
}

// Registry tracks crashes, suspects and quarantines as known to one instance. It
// is not safe for concurrent use.
type Registry struct {
	cfg           Config
	ledger        *ledger
	home          *home
	peers         []string
	requests      map[string]*request
	notices       map[uint64]*notice
	lastNoticeID  uint64
	nextKeepAlive time.Duration
	ready         Ready
	stats         Stats
}

// Stats holds event counters, which never decrease.
type Stats struct {
	Crashes     int64
	Quarantined int64
	Isolated    int64
	Cleared     int64
	Refused     int64
	Messages    int64
}

// New returns an empty Registry.
func New(cfg Config) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{
		cfg: cfg, ledger: newLedger(cfg), home: newHome(cfg),
		requests: map[string]*request{}, notices: map[uint64]*notice{},
	}
}

// Ready returns the pending messages and decisions and clears them. Call it
// after every other call.
func (r *Registry) Ready() Ready {
	out := r.ready
	r.ready = Ready{}
	r.stats.Messages += int64(len(out.Messages))
	return out
}

// Stats returns the current counters.
func (r *Registry) Stats() Stats { return r.stats }

// SuspectCount returns the number of fingerprints in the ledger.
func (r *Registry) SuspectCount() int { return len(r.ledger.suspects) }

// SetPeers sets the live peers. They are notified of crashes, and together with
// this instance they serve as the homes of the pools.
func (r *Registry) SetPeers(now time.Duration, peers []string) {
	sorted := slices.Sorted(slices.Values(peers))
	if slices.Equal(sorted, r.peers) {
		return
	}
	r.peers = sorted
	r.home.grantsFrom = now + r.cfg.PermitTTL/2
	for _, n := range r.notices {
		for p := range n.unacked {
			if !slices.Contains(r.peers, p) {
				delete(n.unacked, p)
			}
		}
	}
	r.keepAlive(now)
	r.attributeToOrphans(now)
	r.releaseHeld(now)
}

// Admit decides whether a request may be dispatched to its pool. targets are those
// that could run it, in order of preference. After Run, call Started.
func (r *Registry) Admit(now time.Duration, id string, fp Fingerprint, pool string, targets []string) Verdict {
	q := &request{id: id, fp: fp, pool: pool, targets: targets, permitDeadline: now + r.cfg.PermitRequestTimeout}
	switch {
	case r.ledger.quarantined(now, fp):
		r.stats.Quarantined++
		return Quarantined
	case r.ledger.openCrashCount(fp) == 0:
		r.requests[id] = q
		return Run
	}
	r.requests[id] = q
	r.requestPermit(now, q)
	return Wait
}

func (r *Registry) requestPermit(now time.Duration, q *request) {
	q.home = homeOf(q.pool, r.cfg.Self, r.peers)
	body := wire.PoisonPermitRequest{Request: q.id, Fingerprint: q.fp[:], Targets: q.targets}
	r.send(now, q.home, wire.KindPoisonPermitRequest, body)
}

// Started records that an admitted request is about to be sent to a target. Call
// it before the first byte is sent.
func (r *Registry) Started(id, target string) {
	if q := r.requests[id]; q != nil {
		q.target = target
	}
}

// RegisterRunning registers a request that was sent to its target without Admit,
// because there were no suspects at the time: computing the fingerprint of a
// long prompt costs more than everything else that is done for a request. Call
// it before TargetCrashed lists the request.
func (r *Registry) RegisterRunning(id string, fp Fingerprint, pool, target string, targets []string) {
	r.requests[id] = &request{id: id, fp: fp, pool: pool, targets: targets, target: target}
}

// Ended records that a request ended other than by a crash of its target.
// completed is true if the target answered it in full.
func (r *Registry) Ended(now time.Duration, id string, completed bool) {
	q := r.requests[id]
	if q == nil || q.awaitedNotice != 0 {
		return
	}
	delete(r.requests, id)
	if completed {
		r.clearSuspicion(now, q.fp)
	}
	r.releasePermit(now, q, nil)
}

// clearSuspicion clears a fingerprint of all crashes known so far: a request
// that completed did not crash its target.
func (r *Registry) clearSuspicion(now time.Duration, fp Fingerprint) {
	var body wire.PoisonNotice
	for _, id := range r.ledger.openCrashes(fp) {
		r.ledger.clearCrash(now, fp, id)
		body.Exonerations = append(body.Exonerations, wire.PoisonExoneration{
			Fingerprint: fp[:], Target: id.Target, Incarnation: id.Incarnation,
		})
	}
	if len(body.Exonerations) > 0 {
		r.stats.Cleared++
		r.broadcast(now, body)
	}
}

// releasePermit returns the permit of a request or withdraws its permit request.
func (r *Registry) releasePermit(now time.Duration, q *request, c *wire.PoisonCrash) {
	if q.home == "" {
		return
	}
	body := wire.PoisonPermitRelease{Request: q.id, Fingerprint: q.fp[:], Target: q.target, Crash: c}
	if !q.hasPermit {
		body.Target = ""
	}
	r.send(now, q.home, wire.KindPoisonPermitRelease, body)
	q.home, q.hasPermit = "", false
}

func (r *Registry) sortedRequests() []*request {
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
	r.ready.Decisions = append(r.ready.Decisions, Decision{Request: q.id, Verdict: v, Target: target})
}

// Tick handles timeouts, renews permits and removes expired entries.
func (r *Registry) Tick(now time.Duration) {
	r.ledger.expire(now)
	r.releaseHeld(now)
	for _, q := range r.sortedRequests() {
		if q.home != "" && !q.hasPermit && now >= q.permitDeadline {
			delete(r.requests, q.id)
			r.releasePermit(now, q, nil)
			r.decide(q, Refused, "")
		}
	}
	if now >= r.nextKeepAlive {
		r.nextKeepAlive = now + r.cfg.PermitTTL/3
		r.keepAlive(now)
	}
	r.home.dropExpired(now)
	r.home.answerPermitRequests(now, r)
}

// keepAlive renews permits and repeats unanswered permit requests, since a new home
// knows neither.
func (r *Registry) keepAlive(now time.Duration) {
	for _, q := range r.sortedRequests() {
		switch {
		case q.hasPermit:
			q.home = homeOf(q.pool, r.cfg.Self, r.peers)
			r.send(now, q.home, wire.KindPoisonPermitRenewal, wire.PoisonPermitRenewal{Fingerprint: q.fp[:], Target: q.target})
		case q.home != "":
			r.requestPermit(now, q)
		}
	}
}
