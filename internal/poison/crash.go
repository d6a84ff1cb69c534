package poison

import (
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// TargetCrashed tells that a target incarnation was lost: another incarnation
// answers, or it reset connections and is unreachable. lost are the requests
// whose connections broke with it; one that goes to the next incarnation
// already is not among them, or it would be blamed for a crash before it.
//
// Each lost request gets a Decision, Retry or Quarantined, once the peers know
// of the crash or HoldBound has passed. Answering before that would let the
// caller send a poison request again to an instance that knows nothing.
func (r *Registry) TargetCrashed(now time.Duration, target, incarnation string, lost []string) {
	r.stats.Crashes++
	var requests []*request
	var fps []Fingerprint
	for _, id := range slices.Sorted(slices.Values(lost)) {
		q := r.requests[id]
		if q == nil || q.heldFor != 0 {
			continue
		}
		requests = append(requests, q)
		if !slices.Contains(fps, q.fp) {
			fps = append(fps, q.fp)
		}
	}
	body := r.blame(now, CrashID{Target: target, Incarnation: incarnation}, fps)
	for _, q := range requests {
		q.heldFor = r.nextID
		r.done(now, q, &body)
	}
	r.blameOrphans(now)
	r.home.review(now, r)
	r.release(now)
}

// blame adds a crash and tells the peers; nextID is then that notice's.
func (r *Registry) blame(now time.Duration, id CrashID, fps []Fingerprint) wire.PoisonCrash {
	r.ledger.addCrash(now, id, 0, fps)
	r.home.lost(id.Target, now)
	body := crashBody(id, 0, fps)
	if len(fps) == 0 {
		return body
	}
	news := wire.PoisonNotice{Crashes: []wire.PoisonCrash{body}}
	for _, fp := range r.judged() {
		news.Quarantines = append(news.Quarantines, wire.PoisonQuarantine{Fingerprint: fp[:]})
	}
	r.broadcast(now, news)
	return body
}

// blameOrphans counts a crash against the suspects that ran on the target by
// permits of this home, where their holder has died too. Nobody else can tell
// of them, and a poison request could take a third target.
func (r *Registry) blameOrphans(now time.Duration) {
	for _, c := range r.ledger.recent(now, r.cfg.PermitTTL) {
		for _, fp := range r.home.orphans(c.id.Target, r.peers, r.cfg.Self) {
			if !c.fps[fp] {
				r.blame(now, c.id, []Fingerprint{fp})
			}
		}
	}
}

// release decides on the held requests whose notice the peers have.
func (r *Registry) release(now time.Duration) {
	for id, n := range r.notices {
		if len(n.waiting) == 0 || now >= n.until {
			delete(r.notices, id)
		}
	}
	for _, q := range r.sorted() {
		if q.heldFor == 0 || r.notices[q.heldFor] != nil {
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
