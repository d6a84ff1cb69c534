package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// home serialises the suspects of a pool: one run at a time for each
// fingerprint, so that it can't take two targets with it at once, and one
// suspect at a time on each target, so that a crash has one culprit.
type home struct {
	cfg     Config
	permits map[Fingerprint]*permit
	queue   []ask
	// settled is when all holds have arrived after a change of peers. A home
	// that granted before could let a fingerprint run twice at once.
	settled time.Duration
}

type permit struct {
	holder string
	target string
	until  time.Duration
}

type ask struct {
	from    string
	request string
	fp      Fingerprint
	targets []string
	at      time.Duration
	until   time.Duration
}

// maxQueue bounds the asks that wait.
const maxQueue = 4096

func newHome(cfg Config) *home {
	return &home{cfg: cfg, permits: map[Fingerprint]*permit{}}
}

// homeOf is the instance that serves a pool's suspects: the same on all
// instances with the same peers, by the highest hash.
func homeOf(pool, self string, peers []string) string {
	best, top := self, xxhash.Sum64String(pool+"\x00"+self)
	for _, p := range peers {
		if h := xxhash.Sum64String(pool + "\x00" + p); h > top {
			best, top = p, h
		}
	}
	return best
}

func (h *home) ask(now time.Duration, from string, b wire.PoisonPermitRequest) {
	fp, ok := fingerprint(b.Fingerprint)
	if !ok || len(h.queue) >= maxQueue {
		return
	}
	a := ask{from: from, request: b.Request, fp: fp, targets: b.Targets, at: now, until: now + h.cfg.AskBound}
	i := slices.IndexFunc(h.queue, func(o ask) bool { return o.from == from && o.request == b.Request })
	if i >= 0 {
		h.queue[i] = a
		return
	}
	h.queue = append(h.queue, a)
}

// hold keeps a permit alive, also one that another home granted.
func (h *home) hold(now time.Duration, from string, b wire.PoisonPermitRenewal) {
	fp, ok := fingerprint(b.Fingerprint)
	if !ok {
		return
	}
	if p := h.permits[fp]; p != nil && p.holder != from {
		return
	}
	h.permits[fp] = &permit{holder: from, target: b.Target, until: now + h.cfg.PermitTTL}
}

// done ends a permit, or the asks of a request that gave up.
func (h *home) done(from string, b wire.PoisonPermitRelease) {
	fp, ok := fingerprint(b.Fingerprint)
	if !ok {
		return
	}
	if b.Target == "" {
		h.queue = slices.DeleteFunc(h.queue, func(a ask) bool { return a.from == from && a.request == b.Request })
		return
	}
	if p := h.permits[fp]; p != nil && p.holder == from && p.target == b.Target {
		delete(h.permits, fp)
	}
}

// lost takes a target that crashed at a time out of the asks from before it.
// The asks name the targets that were up when they came; no suspect runs on the
// crashed one any more, so it would be given to the next of them at once, and
// that one's stream would end at a refused connection.
func (h *home) lost(target string, at time.Duration) {
	for i, a := range h.queue {
		if a.at <= at && slices.Contains(a.targets, target) {
			h.queue[i].targets = slices.DeleteFunc(slices.Clone(a.targets), func(t string) bool { return t == target })
		}
	}
}

// busy says whether a suspect runs on the target by permit.
func (h *home) busy(target string) bool {
	for _, p := range h.permits {
		if p.target == target {
			return true
		}
	}
	return false
}

// orphans lists the suspects on a target whose permits' holders are gone.
func (h *home) orphans(target string, peers []string, self string) []Fingerprint {
	var out []Fingerprint
	for fp, p := range h.permits {
		if p.target == target && p.holder != self && !slices.Contains(peers, p.holder) {
			out = append(out, fp)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return out
}

func (h *home) tick(now time.Duration) {
	for fp, p := range h.permits {
		if now >= p.until {
			delete(h.permits, fp)
		}
	}
	h.queue = slices.DeleteFunc(h.queue, func(a ask) bool { return now >= a.until })
}

// review answers the asks that can be answered now, the oldest first.
func (h *home) review(now time.Duration, r *Registry) {
	queue := h.queue
	h.queue = nil
	for _, a := range queue {
		g := wire.PoisonPermitResponse{Request: a.request, Fingerprint: a.fp[:]}
		switch {
		case r.ledger.quarantined(now, a.fp):
			g.Quarantined = true
		case r.ledger.suspicion(a.fp) == 0:
		default:
			if now >= h.settled {
				g.Target = h.free(a)
			}
			if g.Target == "" {
				h.queue = append(h.queue, a)
				continue
			}
			h.permits[a.fp] = &permit{holder: a.from, target: g.Target, until: now + h.cfg.PermitTTL}
		}
		r.send(now, a.from, wire.KindPoisonPermitResponse, g)
	}
}

// free finds a target without a suspect; none while the fingerprint runs.
func (h *home) free(a ask) string {
	if h.permits[a.fp] != nil {
		return ""
	}
	for _, t := range a.targets {
		if !h.busy(t) {
			return t
		}
	}
	return ""
}
