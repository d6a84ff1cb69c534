package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

// send hands out a message; one to this instance is taken in at once.
func (r *Registry) send(now time.Duration, to string, kind wire.Kind, body any) {
	if to == r.cfg.Self {
		r.receive(now, to, body)
		return
	}
	r.out.Messages = append(r.out.Messages, Message{To: to, Kind: kind, Body: body})
}

// broadcast sends a notice to all peers and waits for their acks.
func (r *Registry) broadcast(now time.Duration, body wire.PoisonNotice) uint64 {
	r.nextID++
	body.ID = r.nextID
	n := &notice{waiting: map[string]bool{}, until: now + r.cfg.HoldBound}
	for _, p := range r.peers {
		n.waiting[p] = true
		r.out.Messages = append(r.out.Messages, Message{To: p, Kind: wire.KindPoisonNotice, Body: body})
	}
	r.notices[r.nextID] = n
	return r.nextID
}

// Receive takes a message from a peer: a PoisonNotice, PoisonAck, PoisonAsk,
// PoisonGrant, PoisonHold or PoisonDone. Others are ignored.
func (r *Registry) Receive(now time.Duration, from string, body any) {
	r.receive(now, from, body)
}

func (r *Registry) receive(now time.Duration, from string, body any) {
	switch b := body.(type) {
	case wire.PoisonNotice:
		r.merge(now, b)
		if b.ID != 0 {
			r.send(now, from, wire.KindPoisonAck, wire.PoisonAck{ID: b.ID})
		}
	case wire.PoisonAck:
		if n := r.notices[b.ID]; n != nil {
			delete(n.waiting, from)
		}
		r.release(now)
	case wire.PoisonPermitResponse:
		r.granted(now, from, b)
	case wire.PoisonPermitRequest:
		r.home.ask(now, from, b)
	case wire.PoisonPermitRenewal:
		r.home.hold(now, from, b)
	case wire.PoisonPermitRelease:
		if b.Crash != nil {
			r.merge(now, wire.PoisonNotice{Crashes: []wire.PoisonCrash{*b.Crash}})
		}
		r.home.done(from, b)
	}
	r.home.review(now, r)
}

// merge takes in what a peer knows.
func (r *Registry) merge(now time.Duration, b wire.PoisonNotice) {
	for _, c := range b.Exonerations {
		if fp, ok := fingerprint(c.Fingerprint); ok {
			r.ledger.clear(now, fp, CrashID{Target: c.Target, Incarnation: c.Incarnation})
		}
	}
	for _, c := range b.Crashes {
		id := CrashID{Target: c.Target, Incarnation: c.Incarnation}
		r.ledger.addCrash(now, id, millis(c.AgeMillis), prints(c.Fingerprints))
		r.home.lost(c.Target, now-millis(c.AgeMillis))
	}
	for _, q := range b.Quarantines {
		if fp, ok := fingerprint(q.Fingerprint); ok && r.ledger.quarantine(now, fp, millis(q.AgeMillis)) {
			r.relay(now, fp)
		}
	}
	for _, fp := range r.judged() {
		r.relay(now, fp)
	}
	// A request that waits for a permit and is quarantined meanwhile gets
	// its final answer at once.
	for _, q := range r.sorted() {
		if q.home != "" && !q.permit && r.ledger.quarantined(now, q.fp) {
			delete(r.requests, q.id)
			r.done(now, q, nil)
			r.decide(q, Quarantined, "")
		}
	}
}

// judged takes the fingerprints that this instance has quarantined by itself.
func (r *Registry) judged() []Fingerprint {
	out := r.ledger.judged
	r.ledger.judged = nil
	return out
}

// relay sees to it that all instances quarantine what one does. Crashes that
// arrive in another order can lead two instances to different judgements: the
// request would be refused at one and run at the other. One instance for each
// fingerprint spreads it, so that the messages stay linear in the fleet.
func (r *Registry) relay(now time.Duration, fp Fingerprint) {
	body := wire.PoisonNotice{Quarantines: []wire.PoisonQuarantine{{Fingerprint: fp[:]}}}
	to := homeOf(string(fp[:]), r.cfg.Self, r.peers)
	if to == r.cfg.Self {
		r.broadcast(now, body)
		return
	}
	r.send(now, to, wire.KindPoisonNotice, body)
}

func (r *Registry) granted(now time.Duration, from string, b wire.PoisonPermitResponse) {
	q := r.requests[b.Request]
	if q == nil || q.home != from || q.permit {
		if b.Target != "" && (q == nil || q.target != b.Target) {
			// The request has ended: give the permit back.
			r.send(now, from, wire.KindPoisonPermitRelease, wire.PoisonPermitRelease{Request: b.Request, Fingerprint: b.Fingerprint, Target: b.Target})
		}
		return
	}
	switch {
	case b.Quarantined:
		delete(r.requests, q.id)
		r.ledger.quarantine(now, q.fp, 0)
		r.decide(q, Quarantined, "")
	case b.Target == "":
		q.home = ""
		r.decide(q, Run, "")
	default:
		q.permit, q.target = true, b.Target
		r.decide(q, Isolate, b.Target)
	}
}

// State is all that is known, for a peer that starts or was cut off.
func (r *Registry) State(now time.Duration) wire.PoisonNotice {
	var b wire.PoisonNotice
	for _, c := range r.ledger.crashes {
		var fps []Fingerprint
		for fp := range c.fps {
			fps = append(fps, fp)
		}
		slices.SortFunc(fps, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
		b.Crashes = append(b.Crashes, crashBody(c.id, now-c.at, fps))
	}
	slices.SortFunc(b.Crashes, func(a, b wire.PoisonCrash) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for fp, s := range r.ledger.suspects {
		for _, id := range s.cleared {
			b.Exonerations = append(b.Exonerations, wire.PoisonExoneration{Fingerprint: fp[:], Target: id.Target, Incarnation: id.Incarnation})
		}
		if s.quarantined > now {
			age := r.cfg.QuarantineTTL - (s.quarantined - now)
			b.Quarantines = append(b.Quarantines, wire.PoisonQuarantine{Fingerprint: fp[:], AgeMillis: age.Milliseconds()})
		}
	}
	return b
}

func crashBody(id CrashID, age time.Duration, fps []Fingerprint) wire.PoisonCrash {
	b := wire.PoisonCrash{Target: id.Target, Incarnation: id.Incarnation, AgeMillis: age.Milliseconds()}
	for _, fp := range fps {
		b.Fingerprints = append(b.Fingerprints, fp[:])
	}
	return b
}

// maxPrints bounds the fingerprints of one crash: more than any target runs.
const maxPrints = 4096

func prints(raw [][]byte) []Fingerprint {
	var out []Fingerprint
	for _, p := range raw[:min(len(raw), maxPrints)] {
		if fp, ok := fingerprint(p); ok {
			out = append(out, fp)
		}
	}
	return out
}

func millis(n int64) time.Duration {
	return time.Duration(max(n, 0)) * time.Millisecond
}

// Decode reads the body of a poison message for Receive.
func Decode(f wire.Frame) (any, error) {
	switch f.Kind {
	case wire.KindPoisonNotice:
		return into[wire.PoisonNotice](f)
	case wire.KindPoisonAck:
		return into[wire.PoisonAck](f)
	case wire.KindPoisonPermitRequest:
		return into[wire.PoisonPermitRequest](f)
	case wire.KindPoisonPermitResponse:
		return into[wire.PoisonPermitResponse](f)
	case wire.KindPoisonPermitRenewal:
		return into[wire.PoisonPermitRenewal](f)
	case wire.KindPoisonPermitRelease:
		return into[wire.PoisonPermitRelease](f)
	}
	return nil, errors.Newf("poison: unknown message kind=%s", f.Kind)
}

func into[T any](f wire.Frame) (any, error) {
	var b T
	if err := f.DecodeBody(&b); err != nil {
		return nil, errors.Wrap(err, "decode poison message")
	}
	return b, nil
}
