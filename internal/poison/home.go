package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// home serialises the suspects of a pool. It grants one permit at a time for
// each fingerprint, so that the fingerprint cannot take down two targets at
// once, and one permit at a time on each target, so that a crash has a single
// suspect as its cause.
type home struct {
	cfg     Config
	permits map[Fingerprint]*permit
	queue   []ask
	// grantsFrom is when the holds of all permits must have arrived after a change
	// of peers. A home that grants earlier could let a fingerprint run twice at
	// once.
	grantsFrom time.Duration
}

type permit struct {
	holder    string
	target    string
	expiresAt time.Duration
}

type ask struct {
	from      string
	request   string
	fp        Fingerprint
	targets   []string
	askedAt   time.Duration
	expiresAt time.Duration
}

// maxQueuedAsks bounds the asks that wait for a permit.
const maxQueuedAsks = 4096

func newHome(cfg Config) *home {
	return &home{cfg: cfg, permits: map[Fingerprint]*permit{}}
}

// homeOf returns the instance that grants the permits of a pool. It is chosen by
// rendezvous hashing, so that all instances with the same peers agree.
// spreadQuarantine uses it to choose an instance for a fingerprint.
func homeOf(pool, self string, peers []string) string {
	best, top := self, xxhash.Sum64String(pool+"\x00"+self)
	for _, p := range peers {
		if h := xxhash.Sum64String(pool + "\x00" + p); h > top {
			best, top = p, h
		}
	}
	return best
}

func (h *home) enqueue(now time.Duration, from string, b wire.PoisonPermitRequest) {
	fp, ok := parseFingerprint(b.Fingerprint)
	if !ok || len(h.queue) >= maxQueuedAsks {
		return
	}
	a := ask{from: from, request: b.Request, fp: fp, targets: b.Targets, askedAt: now, expiresAt: now + h.cfg.AskTimeout}
	i := slices.IndexFunc(h.queue, func(o ask) bool { return o.from == from && o.request == b.Request })
	if i >= 0 {
		h.queue[i] = a
		return
	}
	h.queue = append(h.queue, a)
}

// renewPermit extends a permit, including one that another home granted.
func (h *home) renewPermit(now time.Duration, from string, b wire.PoisonPermitRenewal) {
	fp, ok := parseFingerprint(b.Fingerprint)
	if !ok {
		return
	}
	if p := h.permits[fp]; p != nil && p.holder != from {
		return
	}
	h.permits[fp] = &permit{holder: from, target: b.Target, expiresAt: now + h.cfg.PermitTTL}
}

// endPermit ends a permit, or removes the ask of a request that no longer waits.
func (h *home) endPermit(from string, b wire.PoisonPermitRelease) {
	fp, ok := parseFingerprint(b.Fingerprint)
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

// removeCrashedTarget removes a target that crashed at the given time from the
// asks received before. An ask lists the targets that were up when it was sent.
// No suspect runs on the crashed target any more, so without this the next ask
// would get it at once and its stream would end with a refused connection.
func (h *home) removeCrashedTarget(target string, at time.Duration) {
	for i, a := range h.queue {
		if a.askedAt <= at && slices.Contains(a.targets, target) {
			h.queue[i].targets = slices.DeleteFunc(slices.Clone(a.targets), func(t string) bool { return t == target })
		}
	}
}

// hasSuspect reports whether a suspect holds a permit for the target.
func (h *home) hasSuspect(target string) bool {
	for _, p := range h.permits {
		if p.target == target {
			return true
		}
	}
	return false
}

// orphanedSuspects returns the suspects on a target whose permit holders are
// gone.
func (h *home) orphanedSuspects(target string, peers []string, self string) []Fingerprint {
	var out []Fingerprint
	for fp, p := range h.permits {
		if p.target == target && p.holder != self && !slices.Contains(peers, p.holder) {
			out = append(out, fp)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return out
}

func (h *home) dropExpired(now time.Duration) {
	for fp, p := range h.permits {
		if now >= p.expiresAt {
			delete(h.permits, fp)
		}
	}
	h.queue = slices.DeleteFunc(h.queue, func(a ask) bool { return now >= a.expiresAt })
}

// answerAsks answers all asks that can be decided now, the oldest first.
func (h *home) answerAsks(now time.Duration, r *Registry) {
	queue := h.queue
	h.queue = nil
	for _, a := range queue {
		g := wire.PoisonPermitResponse{Request: a.request, Fingerprint: a.fp[:]}
		switch {
		case r.ledger.quarantined(now, a.fp):
			g.Quarantined = true
		case r.ledger.openCrashCount(a.fp) == 0:
		default:
			if now >= h.grantsFrom {
				g.Target = h.freeTarget(a)
			}
			if g.Target == "" {
				h.queue = append(h.queue, a)
				continue
			}
			h.permits[a.fp] = &permit{holder: a.from, target: g.Target, expiresAt: now + h.cfg.PermitTTL}
		}
		r.send(now, a.from, wire.KindPoisonPermitResponse, g)
	}
}

// freeTarget returns a target without a suspect, or "" if there is none or the
// fingerprint is already running.
func (h *home) freeTarget(a ask) string {
	if h.permits[a.fp] != nil {
		return ""
	}
	for _, t := range a.targets {
		if !h.hasSuspect(t) {
			return t
		}
	}
	return ""
}
