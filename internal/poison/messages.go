package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

// send queues a message to a peer. A message to this instance is handled at
// once.
func (r *Registry) send(now time.Duration, to string, kind wire.Kind, body any) {
	if to == r.cfg.Self {
		r.receive(now, to, body)
		return
	}
	r.ready.Messages = append(r.ready.Messages, Message{To: to, Kind: kind, Body: body})
}

// broadcast sends a notice to all peers and starts waiting for their acks.
func (r *Registry) broadcast(now time.Duration, body wire.PoisonNotice) uint64 {
	r.lastNoticeID++
	body.ID = r.lastNoticeID
	n := &notice{unacked: map[string]bool{}, deadline: now + r.cfg.AckTimeout}
	for _, p := range r.peers {
		n.unacked[p] = true
		r.ready.Messages = append(r.ready.Messages, Message{To: p, Kind: wire.KindPoisonNotice, Body: body})
	}
	r.notices[r.lastNoticeID] = n
	return r.lastNoticeID
}

// Receive handles a message from a peer: a PoisonNotice, PoisonAck,
// PoisonPermitRequest, PoisonPermitResponse, PoisonPermitRenewal or
// PoisonPermitRelease. Other messages are ignored.
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
			delete(n.unacked, from)
		}
		r.releaseHeld(now)
	case wire.PoisonPermitResponse:
		r.handlePermitResponse(now, from, b)
	case wire.PoisonPermitRequest:
		r.home.enqueue(now, from, b)
	case wire.PoisonPermitRenewal:
		r.home.renewPermit(now, from, b)
	case wire.PoisonPermitRelease:
		if b.Crash != nil {
			r.merge(now, wire.PoisonNotice{Crashes: []wire.PoisonCrash{*b.Crash}})
		}
		r.home.endPermit(from, b)
	}
	r.home.answerPermitRequests(now, r)
}

// merge adds what a peer reports to the ledger.
func (r *Registry) merge(now time.Duration, b wire.PoisonNotice) {
	for _, c := range b.Exonerations {
		if fp, ok := parseFingerprint(c.Fingerprint); ok {
			r.ledger.clearCrash(now, fp, CrashID{Target: c.Target, Incarnation: c.Incarnation})
		}
	}
	for _, c := range b.Crashes {
		id := CrashID{Target: c.Target, Incarnation: c.Incarnation}
		r.ledger.addCrash(now, id, millis(c.AgeMillis), parseFingerprints(c.Fingerprints))
		r.home.removeCrashedTarget(c.Target, now-millis(c.AgeMillis))
	}
	for _, q := range b.Quarantines {
		if fp, ok := parseFingerprint(q.Fingerprint); ok && r.ledger.quarantine(now, fp, millis(q.AgeMillis)) {
			r.spreadQuarantine(now, fp)
		}
	}
	for _, fp := range r.takeNewQuarantines() {
		r.spreadQuarantine(now, fp)
	}
	// A request that is quarantined while it waits for a permit gets its final
	// answer at once.
	for _, q := range r.sortedRequests() {
		if q.home != "" && !q.hasPermit && r.ledger.quarantined(now, q.fp) {
			delete(r.requests, q.id)
			r.releasePermit(now, q, nil)
			r.decide(q, Quarantined, "")
		}
	}
}

// takeNewQuarantines returns the fingerprints that this instance has quarantined
// itself since the last call.
func (r *Registry) takeNewQuarantines() []Fingerprint {
	out := r.ledger.newQuarantines
	r.ledger.newQuarantines = nil
	return out
}

// spreadQuarantine makes all instances quarantine a fingerprint that one of them
// has quarantined. Crashes and exonerations that arrive in different orders can lead
// two instances to different results, and the request would be refused by one
// and run by the other. One instance per fingerprint broadcasts the quarantine,
// which keeps the number of messages linear in the size of the fleet.
func (r *Registry) spreadQuarantine(now time.Duration, fp Fingerprint) {
	body := wire.PoisonNotice{Quarantines: []wire.PoisonQuarantine{{Fingerprint: fp[:]}}}
	to := homeOf(string(fp[:]), r.cfg.Self, r.peers)
	if to == r.cfg.Self {
		r.broadcast(now, body)
		return
	}
	r.send(now, to, wire.KindPoisonNotice, body)
}

func (r *Registry) handlePermitResponse(now time.Duration, from string, b wire.PoisonPermitResponse) {
	q := r.requests[b.Request]
	if q == nil || q.home != from || q.hasPermit {
		if b.Target != "" && (q == nil || q.target != b.Target) {
			// The request has ended: return the permit.
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
		q.hasPermit, q.target = true, b.Target
		r.decide(q, Isolate, b.Target)
	}
}

// State returns everything this instance knows, for a peer that starts or was
// partitioned.
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
		if s.quarantinedUntil > now {
			age := r.cfg.QuarantineTTL - (s.quarantinedUntil - now)
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

// maxCrashFingerprints bounds the fingerprints of one crash: more than any
// target runs at a time.
const maxCrashFingerprints = 4096

func parseFingerprints(raw [][]byte) []Fingerprint {
	var out []Fingerprint
	for _, p := range raw[:min(len(raw), maxCrashFingerprints)] {
		if fp, ok := parseFingerprint(p); ok {
			out = append(out, fp)
		}
	}
	return out
}

func millis(n int64) time.Duration {
	return time.Duration(max(n, 0)) * time.Millisecond
}

// Decode decodes the body of a poison message for Receive.
func Decode(f wire.Frame) (any, error) {
	switch f.Kind {
	case wire.KindPoisonNotice:
		return decodeBody[wire.PoisonNotice](f)
	case wire.KindPoisonAck:
		return decodeBody[wire.PoisonAck](f)
	case wire.KindPoisonPermitRequest:
		return decodeBody[wire.PoisonPermitRequest](f)
	case wire.KindPoisonPermitResponse:
		return decodeBody[wire.PoisonPermitResponse](f)
	case wire.KindPoisonPermitRenewal:
		return decodeBody[wire.PoisonPermitRenewal](f)
	case wire.KindPoisonPermitRelease:
		return decodeBody[wire.PoisonPermitRelease](f)
	}
	return nil, errors.Newf("poison: unknown message kind=%s", f.Kind)
}

func decodeBody[T any](f wire.Frame) (any, error) {
	var b T
	if err := f.DecodeBody(&b); err != nil {
		return nil, errors.Wrap(err, "decode poison message")
	}
	return b, nil
}
