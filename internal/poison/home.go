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
	queue   []permitRequest
	// grantsFrom is the earliest time for a new permit after a change of peers.
	// By then, the holders of permits from the previous home have renewed them
	// here. A home that grants earlier could let a fingerprint run twice at once.
	grantsFrom time.Duration
}

type permit struct {
	holder    string
	target    string
	expiresAt time.Duration
}

type permitRequest struct {
	from       string
	request    string
	fp         Fingerprint
	targets    []string
	receivedAt time.Duration
	expiresAt  time.Duration
}

// maxQueuedPermitRequests bounds the requests that wait for a permit.
const maxQueuedPermitRequests = 4096

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
	if !ok || len(h.queue) >= maxQueuedPermitRequests {
		return
	}
	req := permitRequest{from: from, request: b.Request, fp: fp, targets: b.Targets, receivedAt: now, expiresAt: now + h.cfg.PermitRequestTimeout}
	i := slices.IndexFunc(h.queue, func(o permitRequest) bool { return o.from == from && o.request == b.Request })
	if i >= 0 {
		h.queue[i] = req
		return
	}
	h.queue = append(h.queue, req)
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

// endPermit ends a permit, or removes the permit request of a request that no
// longer waits.
func (h *home) endPermit(from string, b wire.PoisonPermitRelease) {
	fp, ok := parseFingerprint(b.Fingerprint)
	if !ok {
		return
	}
	if b.Target == "" {
		h.queue = slices.DeleteFunc(h.queue, func(req permitRequest) bool { return req.from == from && req.request == b.Request })
		return
	}
	if p := h.permits[fp]; p != nil && p.holder == from && p.target == b.Target {
		delete(h.permits, fp)
	}
}

// removeCrashedTarget removes a target that crashed at the given time from the
// permit requests received before. A permit request lists the targets that were up
// when it was sent. No suspect runs on the crashed target any more, so without this
// the next permit request would get it at once and its stream would end with a
// refused connection.
func (h *home) removeCrashedTarget(target string, at time.Duration) {
	for i, req := range h.queue {
		if req.receivedAt <= at && slices.Contains(req.targets, target) {
			h.queue[i].targets = slices.DeleteFunc(slices.Clone(req.targets), func(t string) bool { return t == target })
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
	h.queue = slices.DeleteFunc(h.queue, func(req permitRequest) bool { return now >= req.expiresAt })
}

// answerPermitRequests answers all permit requests that can be decided now, the
// oldest first.
func (h *home) answerPermitRequests(now time.Duration, r *Registry) {
	queue := h.queue
	h.queue = nil
	for _, req := range queue {
		resp := wire.PoisonPermitResponse{Request: req.request, Fingerprint: req.fp[:]}
		switch {
		case r.ledger.quarantined(now, req.fp):
			resp.Quarantined = true
		case r.ledger.openCrashCount(req.fp) == 0:
		default:
			if now >= h.grantsFrom {
				resp.Target = h.freeTarget(req)
			}
			if resp.Target == "" {
				h.queue = append(h.queue, req)
				continue
			}
			h.permits[req.fp] = &permit{holder: req.from, target: resp.Target, expiresAt: now + h.cfg.PermitTTL}
		}
		r.send(now, req.from, wire.KindPoisonPermitResponse, resp)
	}
}

// freeTarget returns a target without a suspect, or "" if there is none or the
// fingerprint is already running.
func (h *home) freeTarget(req permitRequest) string {
	if h.permits[req.fp] != nil {
		return ""
	}
	for _, t := range req.targets {
		if !h.hasSuspect(t) {
			return t
		}
	}
	return ""
}
