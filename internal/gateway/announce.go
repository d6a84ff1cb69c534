package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// announceWhenDue starts a call that writes where this instance is and reads
// where the others are, when it is time for that and none is running: a slow
// store must not hold up the exchange of messages.
func (p *peers) announceWhenDue(ctx context.Context) {
	now := p.g.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	// A peer fell silent since the pause was chosen.
	if p.speaksForOthers(now) {
		p.announceAt = min(p.announceAt, now+announceEvery)
	}
	if p.announcing || now < p.announceAt {
		return
	}
	p.announcing = true
	go p.announce(ctx)
}

// announce writes where this instance is and whom it hears, and reads where
// the others are.
func (p *peers) announce(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	all, err := p.exchangeAnnouncements(call)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announcing = false
	now := p.g.clock.Now()
	if err != nil {
		p.announceAt = now + p.g.jitter(announceEvery)
		if ctx.Err() == nil {
			logline.Error(err, "announcements_failed")
		}
		return
	}
	p.take(now, all)
	p.announceAt = now + p.announcePause(now)
}

func (p *peers) exchangeAnnouncements(ctx context.Context) ([]Announced, error) {
	if !p.g.closing.Load() {
		if err := p.g.store.Announce(ctx, p.announcement()); err != nil {
			return nil, err
		}
	}
	return p.g.store.Announcements(ctx)
}

// announcement is what this instance writes of itself, and of those that it
// hears when it speaks for them.
func (p *peers) announcement() Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	a := Announcement{Instance: p.g.self.Instance, Incarnation: p.g.self.Incarnation, Address: p.g.self.Address, Domain: p.g.self.Domain}
	if !p.speaksForOthers(now) {
		return a
	}
	for name, s := range p.known {
		if p.hears(now, s) {
			a.Hears = append(a.Hears, name)
		}
	}
	return a
}

// announcePause is the time until the next announcement. The caller holds p.mu.
func (p *peers) announcePause(now time.Duration) time.Duration {
	switch {
	case p.speaksForOthers(now), p.alone(now):
		return announceEvery
	case p.first(now):
		return calmAnnounceEvery
	}
	return othersAnnounceEvery
}

// speaksForOthers says whether this instance has to look into the store for a
// silent peer, and to announce there those that it hears: it is the first of
// them. So does one with a silent peer that the first one does not miss, since
// it may hear that peer; then the other side has to be told of this one. The
// caller holds p.mu.
func (p *peers) speaksForOthers(now time.Duration) bool {
	first := p.first(now)
	for _, s := range p.known {
		if p.hears(now, s) {
			continue
		}
		if first || now-max(s.heard, s.announcedAt, s.missedAt) > goneAfter/2 {
			return true
		}
	}
	return false
}

// alone says that no peer is heard: instances that start together may each have
// read the announcements before the others wrote theirs. The caller holds p.mu.
func (p *peers) alone(now time.Duration) bool { return p.heardLocked(now) == 0 }

// first says that no heard peer that reaches the store comes before this
// instance by name. The caller holds p.mu.
func (p *peers) first(now time.Duration) bool { return p.rankLocked(now) == 0 }

// hears says whether a peer's last message still stands for its present state.
// The caller holds p.mu.
func (p *peers) hears(now time.Duration, s *peerState) bool { return now-s.heard <= p.heardFor() }

// unheard is what the first of the instances tells the others of the peers that
// it does not hear: how long ago the last word of each was. The caller holds
// p.mu.
func (p *peers) unheard(now time.Duration) map[string]int64 {
	if !p.first(now) {
		return nil
	}
	var out map[string]int64
	for name, s := range p.known {
		if !p.hears(now, s) {
			if out == nil {
				out = map[string]int64{}
			}
			out[name] = (now - max(s.heard, s.announcedAt)).Milliseconds()
		}
	}
	return out
}

// takeUnheard takes in what a peer knows of those that it does not hear. The
// caller holds p.mu.
func (p *peers) takeUnheard(now time.Duration, ages map[string]int64) {
	for name, age := range ages {
		if s := p.known[name]; s != nil {
			s.missedAt = now
			s.announcedAt = max(s.announcedAt, now-time.Duration(age)*time.Millisecond)
		}
	}
}

// take takes in the announcements, as read whole. The caller holds p.mu.
func (p *peers) take(now time.Duration, all []Announced) {
	p.read = true
	there := map[string]bool{p.g.self.Instance: true}
	for _, a := range all {
		there[a.Instance] = true
		p.takeOne(now, a)
	}
	for _, a := range all {
		p.takeHeard(now, a)
	}
	for name, s := range p.known {
		if !there[name] && !p.hears(now, s) {
			p.drop(now, name, "withdrawn")
		}
	}
}

// takeOne takes in one announcement. One that was seen before says nothing new.
func (p *peers) takeOne(now time.Duration, a Announced) {
	if last, dropped := p.dropped[a.Instance]; a.Instance == p.g.self.Instance || dropped && a.Revision <= last {
		return
	}
	s := p.known[a.Instance]
	switch {
	case s == nil, s.Incarnation != a.Incarnation && a.Revision > s.Revision:
		p.known[a.Instance] = p.newState(now, a)
		logline.Info("peer_found", "peer", a.Instance, "address", a.Address, "incarnation", a.Incarnation)
	case s.Incarnation == a.Incarnation && a.Revision != s.Revision:
		s.Announced, s.announcedAt = a, now
	}
}

// takeHeard takes in whom the writer of an announcement hears. An old one
// says nothing of now: it counts when its writer has just written it.
func (p *peers) takeHeard(now time.Duration, a Announced) {
	writer := p.known[a.Instance]
	if writer == nil || writer.announcedAt != now {
		return
	}
	for _, name := range a.Hears {
		if s := p.known[name]; s != nil {
			s.announcedAt = now
		}
	}
}

// look drops the peers that are gone. After a suspension an instance listens
// first: alone in its count it would spend the whole rate of each account beside
// all others. The caller holds p.mu.
func (p *peers) look(now time.Duration) {
	if p.g.suspension.recent(now) == 0 {
		p.expire(now)
	}
}

// expire drops the peers that are gone. The caller holds p.mu.
func (p *peers) expire(now time.Duration) {
	for name, s := range p.known {
		switch {
		case s.leaving && !p.hears(now, s):
			p.drop(now, name, "left")
		case now-max(s.heard, s.announcedAt) > goneAfter:
			p.drop(now, name, "silent")
		}
	}
}

func (p *peers) drop(now time.Duration, name, why string) {
	s := p.known[name]
	delete(p.known, name)
	p.dropped[name] = s.Revision
	logline.Info("peer_gone", "peer", name, "why", why, "silent_for", now-max(s.heard, s.announcedAt))
}
