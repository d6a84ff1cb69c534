package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// announceIfDue starts a call that writes this instance's announcement and reads those
// of the others, if one is due and none is in flight. It runs in the background so that
// a slow store does not delay the exchanges with peers.
func (p *peers) announceIfDue(ctx context.Context) {
	now := p.g.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.announceDue(now) {
		return
	}
	p.announcing = true
	go p.announce(ctx)
}

// announceDue reports whether to announce now. The delay was chosen when the last
// announcement was answered; peers may have started or stopped reporting since, so it
// is computed again. The caller holds p.mu.
func (p *peers) announceDue(now time.Duration) bool {
	if p.announcing {
		return false
	}
	if p.mustAnnounceOthers(now) {
		p.announceAt = min(p.announceAt, now+fastAnnounceInterval)
	}
	if now < p.announceAt {
		return false
	}
	if due := p.announcedAt + p.announceDelay(now); p.announcementsRead && now < due {
		p.announceAt = due
		return false
	}
	return true
}

// announce writes this instance's announcement, which may list live peers, and reads
// those of all instances.
func (p *peers) announce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	all, err := p.syncAnnouncements(callCtx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announcing = false
	now := p.g.clock.Now()
	if err != nil {
		p.announcedAt, p.announceAt = never, now+p.g.jitter(fastAnnounceInterval)
		if ctx.Err() == nil {
			logline.Error(err, "announcements_failed")
		}
		return
	}
	p.applyAnnouncements(now, all)
	p.g.limits.setFleet(p.servingInstances(), true)
	p.announcedAt, p.announceAt = now, now+p.announceDelay(now)
}

func (p *peers) syncAnnouncements(ctx context.Context) ([]Announced, error) {
	if !p.g.draining.Load() {
		if err := p.g.store.Announce(ctx, p.announcement()); err != nil {
			return nil, err
		}
	}
	return p.g.store.Announcements(ctx)
}

// announcement returns this instance's announcement, including the list of live peers
// if it has to announce those too.
func (p *peers) announcement() Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	a := Announcement{
		Instance: p.g.self.Instance, Incarnation: p.g.self.Incarnation, Address: p.g.self.Address, Domain: p.g.self.Domain,
		Capacity: p.g.settings.Capacity,
	}
	if !p.mustAnnounceOthers(now) {
		return a
	}
	for name, s := range p.known {
		if p.isFresh(now, s) {
			a.Alive = append(a.Alive, name)
		}
	}
	return a
}

// announceDelay returns the time from one announcement to the next. The caller holds
// p.mu.
func (p *peers) announceDelay(now time.Duration) time.Duration {
	switch {
	case p.mustAnnounceOthers(now), p.noneReporting(now):
		return fastAnnounceInterval
	case p.isFirstRanked(now):
		return firstAnnounceInterval
	}
	return otherAnnounceInterval
}

// mustAnnounceOthers reports whether this instance must search the store for a silent
// peer and list the live peers in its own announcement. The first-ranked instance does
// so. So does an instance with a silent peer that the first-ranked one doesn't report
// as overdue: the first-ranked instance may still receive that peer's updates, and then
// the other side of the partition must learn of this one. The caller holds p.mu.
func (p *peers) mustAnnounceOthers(now time.Duration) bool {
	first := p.isFirstRanked(now)
	for _, s := range p.known {
		if p.isFresh(now, s) {
			continue
		}
		if first || now-max(s.updatedAt, s.announcedAt, s.reportedOverdueAt) > peerExpiry/2 {
			return true
		}
	}
	return false
}

// noneReporting reports whether no peer has a fresh update. Instances that start
// together may each have read the announcements before the others wrote theirs. The
// caller holds p.mu.
func (p *peers) noneReporting(now time.Duration) bool { return p.reportingCountLocked(now) == 0 }

// isFirstRanked reports whether no reporting peer that reaches the store ranks before
// this instance. The caller holds p.mu.
func (p *peers) isFirstRanked(now time.Duration) bool { return p.rankLocked(now) == 0 }

// overduePeers returns the peers without a fresh update and the time in milliseconds
// since each was last known to be alive. Only the first-ranked instance reports them;
// on all others the result is nil. The caller holds p.mu.
func (p *peers) overduePeers(now time.Duration) map[string]int64 {
	if !p.isFirstRanked(now) {
		return nil
	}
	var out map[string]int64
	for name, s := range p.known {
		if !p.isFresh(now, s) {
			if out == nil {
				out = map[string]int64{}
			}
			out[name] = (now - max(s.updatedAt, s.announcedAt)).Milliseconds()
		}
	}
	return out
}

// applyOverdueReport applies a peer's report of instances without a fresh update. The
// caller holds p.mu.
func (p *peers) applyOverdueReport(now time.Duration, ages map[string]int64) {
	for name, age := range ages {
		if s := p.known[name]; s != nil {
			s.reportedOverdueAt = now
			s.announcedAt = max(s.announcedAt, now-time.Duration(age)*time.Millisecond)
		}
	}
}

// applyAnnouncements applies a complete read of the announcements. The caller holds
// p.mu.
func (p *peers) applyAnnouncements(now time.Duration, all []Announced) {
	p.announcementsRead = true
	announcedNames := map[string]bool{p.g.self.Instance: true}
	for _, a := range all {
		announcedNames[a.Instance] = true
		p.applyAnnouncement(now, a)
	}
	for _, a := range all {
		p.applyAliveList(now, a)
	}
	for name, s := range p.known {
		if !announcedNames[name] && !p.isFresh(now, s) {
			p.removePeer(now, name, "withdrawn")
		}
	}
}

// applyAnnouncement applies one announcement. A revision that was seen before has no
// effect.
func (p *peers) applyAnnouncement(now time.Duration, a Announced) {
	if lastRevision, removed := p.removedRevisions[a.Instance]; a.Instance == p.g.self.Instance || removed && a.Revision <= lastRevision {
		return
	}
	s := p.known[a.Instance]
	switch {
	case s == nil, s.Incarnation != a.Incarnation && a.Revision > s.Revision:
		if s != nil {
			p.g.limits.endLoansOf(a.Instance, s.Incarnation)
		}
		p.known[a.Instance] = newPeerState(now, a)
		logline.InfoSampled("peer_found", "peer", a.Instance, "address", a.Address, "incarnation", a.Incarnation)
	case s.Incarnation == a.Incarnation && a.Revision != s.Revision:
		s.Announced, s.announcedAt = a, now
	}
}

// applyAliveList records the instances that an announcement lists as alive. The list
// counts only if its writer has just written it: an old one doesn't describe the
// present.
func (p *peers) applyAliveList(now time.Duration, a Announced) {
	writer := p.known[a.Instance]
	if writer == nil || writer.announcedAt != now {
		return
	}
	for _, name := range a.Alive {
		if s := p.known[name]; s != nil {
			s.announcedAt = now
		}
	}
}

// expireUnlessSuspended removes expired peers unless this process was suspended a
// moment ago. After a suspension it first has to receive updates: an instance that
// counts itself as alone would spend the whole rate of each account in addition to all
// others. The caller holds p.mu.
func (p *peers) expireUnlessSuspended(now time.Duration) {
	if p.g.suspension.recent(now) == 0 {
		p.expirePeers(now)
	}
}

// expirePeers removes peers that have left or have been silent for longer than
// peerExpiry. The caller holds p.mu.
func (p *peers) expirePeers(now time.Duration) {
	for name, s := range p.known {
		switch {
		case s.state.Leaving && !p.isFresh(now, s):
			p.removePeer(now, name, "left")
		case now-max(s.updatedAt, s.announcedAt) > peerExpiry:
			p.lost[name] = s.hubInstance()
			p.removePeer(now, name, "silent")
		}
	}
}

func (p *peers) removePeer(now time.Duration, name, why string) {
	s := p.known[name]
	delete(p.known, name)
	p.removedRevisions[name] = s.Revision
	p.g.limits.endLoansOf(name, s.Incarnation)
	logline.Info("peer_gone", "peer", name, "why", why, "silent_for", now-max(s.updatedAt, s.announcedAt))
}
