package poison

import (
	"cmp"
	"slices"
	"time"
)

// CrashID names one lost target incarnation. All instances that had requests
// on it derive the same id, so that one crash is never counted twice.
type CrashID struct {
	Target      string
	Incarnation string
}

type crash struct {
	id  CrashID
	fps map[Fingerprint]bool
	at  time.Duration
}

type suspect struct {
	crashes []CrashID
	cleared []CrashID
	// quarantined holds until the time.
	quarantined time.Duration
	seen        time.Duration
}

// quarantineAt is how many crashes a fingerprint may be present at.
const quarantineAt = 2

// ledger is what is known of crashes. Merging is idempotent and the order of
// merges does not matter.
type ledger struct {
	cfg      Config
	crashes  map[CrashID]*crash
	suspects map[Fingerprint]*suspect
	// judged are the fingerprints quarantined here since they were last taken.
	judged []Fingerprint
}

func newLedger(cfg Config) *ledger {
	return &ledger{cfg: cfg, crashes: map[CrashID]*crash{}, suspects: map[Fingerprint]*suspect{}}
}

func (l *ledger) suspect(now time.Duration, fp Fingerprint) *suspect {
	s := l.suspects[fp]
	if s == nil {
		s = &suspect{seen: now, quarantined: -1}
		l.suspects[fp] = s
		l.bound()
	}
	return s
}

// addCrash merges a crash and returns whether anything was new.
func (l *ledger) addCrash(now time.Duration, id CrashID, age time.Duration, fps []Fingerprint) bool {
	if age >= l.cfg.SuspectTTL {
		return false
	}
	c := l.crashes[id]
	if c == nil {
		c = &crash{id: id, fps: map[Fingerprint]bool{}, at: now - age}
		l.crashes[id] = c
	}
	fresh := false
	for _, fp := range fps {
		if c.fps[fp] {
			continue
		}
		fresh = true
		c.fps[fp] = true
		s := l.suspect(now, fp)
		s.crashes = append(s.crashes, id)
		s.seen = now
	}
	for _, fp := range fps {
		l.judge(now, fp)
	}
	l.bound()
	return fresh
}

// judge quarantines a fingerprint that was present at too many crashes.
func (l *ledger) judge(now time.Duration, fp Fingerprint) {
	if l.suspicion(fp) >= quarantineAt {
		if l.quarantine(now, fp, 0) {
			l.judged = append(l.judged, fp)
		}
	}
}

func (l *ledger) quarantine(now time.Duration, fp Fingerprint, age time.Duration) bool {
	s := l.suspect(now, fp)
	until := now + l.cfg.QuarantineTTL - age
	if until <= now || s.quarantined >= until {
		return false
	}
	fresh := s.quarantined <= now
	s.quarantined, s.seen = until, now
	return fresh
}

// maxCleared bounds what is remembered of one fingerprint's clears.
const maxCleared = 64

func (l *ledger) clear(now time.Duration, fp Fingerprint, id CrashID) bool {
	s := l.suspect(now, fp)
	if slices.Contains(s.cleared, id) {
		return false
	}
	s.cleared = append(s.cleared, id)
	if len(s.cleared) > maxCleared {
		s.cleared = s.cleared[1:]
	}
	return true
}

func (l *ledger) quarantined(now time.Duration, fp Fingerprint) bool {
	s := l.suspects[fp]
	return s != nil && s.quarantined > now
}

// suspicion counts the crashes that the fingerprint may have caused.
func (l *ledger) suspicion(fp Fingerprint) int {
	return len(l.open(fp))
}

// open lists the crashes that still count against the fingerprint. A crash
// counts against all that were there, also when one of them is quarantined:
// two poison requests may have shared the target. An innocent one is cleared
// when it completes, and asks for isolation until then.
func (l *ledger) open(fp Fingerprint) []CrashID {
	s := l.suspects[fp]
	if s == nil {
		return nil
	}
	var out []CrashID
	for _, id := range s.crashes {
		if !slices.Contains(s.cleared, id) && l.crashes[id] != nil {
			out = append(out, id)
		}
	}
	return out
}

// recent lists the crashes younger than the age, in a fixed order.
func (l *ledger) recent(now, age time.Duration) []*crash {
	var out []*crash
	for _, c := range l.crashes {
		if now-c.at < age {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.id.Target, b.id.Target), cmp.Compare(a.id.Incarnation, b.id.Incarnation))
	})
	return out
}

func (l *ledger) expire(now time.Duration) {
	for id, c := range l.crashes {
		if now-c.at >= l.cfg.SuspectTTL {
			delete(l.crashes, id)
		}
	}
	for fp, s := range l.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(id CrashID) bool { return l.crashes[id] == nil })
		if len(s.crashes) == 0 && s.quarantined <= now && now-s.seen >= l.cfg.SuspectTTL {
			delete(l.suspects, fp)
		}
	}
}

// bound drops the oldest entries when there are too many.
func (l *ledger) bound() {
	for len(l.crashes) > l.cfg.MaxCrashes {
		var old *crash
		for _, c := range l.crashes {
			if old == nil || c.at < old.at {
				old = c
			}
		}
		delete(l.crashes, old.id)
	}
	if len(l.suspects) > l.cfg.MaxSuspects {
		l.dropSuspect()
	}
}

func (l *ledger) dropSuspect() {
	var oldest Fingerprint
	var old *suspect
	for fp, s := range l.suspects {
		if old == nil || s.quarantined < old.quarantined ||
			s.quarantined == old.quarantined && s.seen < old.seen {
			oldest, old = fp, s
		}
	}
	delete(l.suspects, oldest)
}
