package poison

import (
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// TargetCrashed records the loss of a target incarnation: another incarnation
// answers, or the target reset connections and is unreachable. lost lists the
// requests whose connections broke with it. It must not include requests already
// sent to the next incarnation, because they would be counted as causes of a crash
// that came before them.
//
// Each lost request gets a Decision, Retry or Quarantined, once the peers have
// acknowledged the crash or AckTimeout has passed. With an earlier answer the
// caller could resend a poison request to an instance that does not know of the
// crash yet.
func (r *Registry) TargetCrashed(now time.Duration, target, incarnation string, lost []string) {
	r.stats.Crashes++
	var requests []*request
	var fps []Fingerprint
	for _, id := range slices.Sorted(slices.Values(lost)) {
		q := r.requests[id]
		if q == nil || q.awaitedNotice != 0 {
			continue
		}
		requests = append(requests, q)
		if !slices.Contains(fps, q.fp) {
			fps = append(fps, q.fp)
		}
	}
	body := r.recordCrash(now, CrashID{Target: target, Incarnation: incarnation}, fps)
	for _, q := range requests {
		q.awaitedNotice = r.lastNoticeID
		r.releasePermit(now, q, &body)
	}
	r.attributeToOrphans(now)
	r.home.answerPermitRequests(now, r)
	r.releaseHeld(now)
}

// recordCrash adds a crash and notifies the peers. Afterwards lastNoticeID is
// the id of that notice.
func (r *Registry) recordCrash(now time.Duration, id CrashID, fps []Fingerprint) wire.PoisonCrash {
	r.ledger.addCrash(now, id, 0, fps)
	r.home.removeCrashedTarget(id.Target, now)
	body := crashBody(id, 0, fps)
	if len(fps) == 0 {
		return body
	}
	msg := wire.PoisonNotice{Crashes: []wire.PoisonCrash{body}}
	for _, fp := range r.takeNewQuarantines() {
		msg.Quarantines = append(msg.Quarantines, wire.PoisonQuarantine{Fingerprint: fp[:]})
	}
	r.broadcast(now, msg)
	return body
}

// attributeToOrphans counts recent crashes against the suspects that ran on the
// crashed target with a permit of this home and whose holder has died as well.
// No other instance can report them, and a poison request could take down a
// third target.
func (r *Registry) attributeToOrphans(now time.Duration) {
	for _, c := range r.ledger.recentCrashes(now, r.cfg.PermitTTL) {
		for _, fp := range r.home.orphanedSuspects(c.id.Target, r.peers, r.cfg.Self) {
			if !c.fps[fp] {
				r.recordCrash(now, c.id, []Fingerprint{fp})
			}
		}
	}
}

// releaseHeld decides on the held requests whose notice all peers have
// acknowledged.
func (r *Registry) releaseHeld(now time.Duration) {
	for id, n := range r.notices {
		if len(n.unacked) == 0 || now >= n.deadline {
			delete(r.notices, id)
		}
	}
	for _, q := range r.sortedRequests() {
		if q.awaitedNotice == 0 || r.notices[q.awaitedNotice] != nil {
			continue
		}
		delete(r.requests, q.id)
		if r.ledger.quarantined(now, q.fp) {
			r.decide(q, Quarantined, "")
		} else {
			r.decide(q, Retry, "")
		}
	}
}
