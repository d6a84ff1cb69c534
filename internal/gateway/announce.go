package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// announceWhenDue starts a call that writes where this instance is and reads
// where the others are, when it is time for that and none is running: a slow
// store must not hold up the exchange of messages.
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

// announceDue says whether to announce now. The pause was chosen as the last
// announcement was answered, and peers have reported or fallen silent since. The
// caller holds p.mu.
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

// announce writes where this instance is and which ones are alive, and reads
// where the others are.
func (p *peers) announce(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	all, err := p.syncAnnouncements(call)
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

// announcement is what this instance writes of itself, and of those that are
// alive where it announces these too.
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

// announcePause is the time until the next announcement. The caller holds p.mu.
func (p *peers) announceDelay(now time.Duration) time.Duration {
	switch {
	case p.mustAnnounceOthers(now), p.noneReporting(now):
		return fastAnnounceInterval
	case p.isFirstRanked(now):
		return firstAnnounceInterval
	}
	return otherAnnounceInterval
}

// announcesOthers says whether this instance has to look into the store for a
// silent peer, and to announce there those that are alive: it is the first of
// them in the order of duties. So does one with a silent peer that the first one
// does not miss, since that one may have updates of it; then the other side has
// to learn of this one. The caller holds p.mu.
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

// alone says that no peer reports: instances that start together may each have
// read the announcements before the others wrote theirs. The caller holds p.mu.
func (p *peers) noneReporting(now time.Duration) bool { return p.reportingCountLocked(now) == 0 }

// first says that no peer that reaches the store comes before this instance in
// the order of duties. The caller holds p.mu.
func (p *peers) isFirstRanked(now time.Duration) bool { return p.rankLocked(now) == 0 }

// overdue is what the first of the instances reports of the peers without a fresh
// update: the age of what was last known of each. The caller holds p.mu.
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

// takeOverdue takes in what a peer reports of those without a fresh update. The
// caller holds p.mu.
func (p *peers) applyOverdueReport(now time.Duration, ages map[string]int64) {
	for name, age := range ages {
		if s := p.known[name]; s != nil {
			s.reportedOverdueAt = now
			s.announcedAt = max(s.announcedAt, now-time.Duration(age)*time.Millisecond)
		}
	}
}

// take takes in the announcements, as read whole. The caller holds p.mu.
func (p *peers) applyAnnouncements(now time.Duration, all []Announced) {
	p.announcementsRead = true
	there := map[string]bool{p.g.self.Instance: true}
	for _, a := range all {
		there[a.Instance] = true
		p.applyAnnouncement(now, a)
	}
	for _, a := range all {
		p.applyAliveList(now, a)
	}
	for name, s := range p.known {
		if !there[name] && !p.isFresh(now, s) {
			p.removePeer(now, name, "withdrawn")
		}
	}
}

// takeOne takes in one announcement. One that was seen before says nothing new.
func (p *peers) applyAnnouncement(now time.Duration, a Announced) {
	if last, dropped := p.removedRevisions[a.Instance]; a.Instance == p.g.self.Instance || dropped && a.Revision <= last {
		return
	}
	s := p.known[a.Instance]
	switch {
	case s == nil, s.Incarnation != a.Incarnation && a.Revision > s.Revision:
		p.known[a.Instance] = newPeerState(now, a)
		logline.Sampled("peer_found", "peer", a.Instance, "address", a.Address, "incarnation", a.Incarnation)
	case s.Incarnation == a.Incarnation && a.Revision != s.Revision:
		s.Announced, s.announcedAt = a, now
	}
}

// takeAlive takes in which instances the writer of an announcement takes for
// alive. An old one says nothing of now: it counts when its writer has just
// written it.
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

// look drops the peers that are gone. After a suspension an instance listens
// first: alone in its count it would spend the whole rate of each account beside
// all others. The caller holds p.mu.
func (p *peers) expireUnlessSuspended(now time.Duration) {
	if p.g.suspension.recent(now) == 0 {
		p.expirePeers(now)
	}
}

// expire drops the peers that are gone. The caller holds p.mu.
func (p *peers) expirePeers(now time.Duration) {
	for name, s := range p.known {
		switch {
		case s.state.Leaving && !p.isFresh(now, s):
			p.removePeer(now, name, "left")
		case now-max(s.updatedAt, s.announcedAt) > peerExpiry:
			p.removePeer(now, name, "silent")
		}
	}
}

func (p *peers) removePeer(now time.Duration, name, why string) {
	s := p.known[name]
	delete(p.known, name)
	p.removedRevisions[name] = s.Revision
	logline.Info("peer_gone", "peer", name, "why", why, "silent_for", now-max(s.updatedAt, s.announcedAt))
}
