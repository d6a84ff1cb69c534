package poison

import (
	"cmp"
	"slices"
	"time"
)

// CrashID identifies the loss of one target incarnation. All instances that had
// requests on it derive the same id, so that a crash is never counted twice.
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
	// quarantinedUntil is when the quarantine ends.
	quarantinedUntil time.Duration
	lastSeen         time.Duration
}

// quarantineThreshold is the number of open crashes at which a fingerprint is
// quarantined.
const quarantineThreshold = 2

// ledger records crashes, suspects and quarantines. Merging crashes and exonerations
// is idempotent and independent of their order; whether they lead to a quarantine
// can depend on the order, see spreadQuarantine.
type ledger struct {
	cfg      Config
	crashes  map[CrashID]*crash
	suspects map[Fingerprint]*suspect
	// newQuarantines are the fingerprints that this instance has quarantined
	// itself since the last call of takeNewQuarantines.
	newQuarantines []Fingerprint
}

func newLedger(cfg Config) *ledger {
	return &ledger{cfg: cfg, crashes: map[CrashID]*crash{}, suspects: map[Fingerprint]*suspect{}}
}

func (l *ledger) ensureSuspect(now time.Duration, fp Fingerprint) *suspect {
	s := l.suspects[fp]
	if s == nil {
		s = &suspect{lastSeen: now, quarantinedUntil: -1}
		l.suspects[fp] = s
		l.evictOldest()
	}
	return s
}

// addCrash merges a crash and reports whether any of its fingerprints were new.
func (l *ledger) addCrash(now time.Duration, id CrashID, age time.Duration, fps []Fingerprint) bool {
	if age >= l.cfg.SuspectTTL {
		return false
	}
	c := l.crashes[id]
	if c == nil {
		c = &crash{id: id, fps: map[Fingerprint]bool{}, at: now - age}
		l.crashes[id] = c
	}
	added := false
	for _, fp := range fps {
		if c.fps[fp] {
			continue
		}
		added = true
		c.fps[fp] = true
		s := l.ensureSuspect(now, fp)
		s.crashes = append(s.crashes, id)
		s.lastSeen = now
	}
	for _, fp := range fps {
		l.quarantineRepeated(now, fp)
	}
	l.evictOldest()
	return added
}

// quarantineRepeated quarantines a fingerprint that was present at too many
// crashes.
func (l *ledger) quarantineRepeated(now time.Duration, fp Fingerprint) {
	if l.openCrashCount(fp) >= quarantineThreshold {
		if l.quarantine(now, fp, 0) {
			l.newQuarantines = append(l.newQuarantines, fp)
		}
	}
}

// quarantine quarantines a fingerprint whose quarantine began age ago, and reports
// whether it was not quarantined before.
func (l *ledger) quarantine(now time.Duration, fp Fingerprint, age time.Duration) bool {
	s := l.ensureSuspect(now, fp)
	until := now + l.cfg.QuarantineTTL - age
	if until <= now || s.quarantinedUntil >= until {
		return false
	}
	newlyQuarantined := s.quarantinedUntil <= now
	s.quarantinedUntil, s.lastSeen = until, now
	return newlyQuarantined
}

// maxCleared bounds the cleared crashes that are remembered for a fingerprint.
const maxCleared = 64

func (l *ledger) clearCrash(now time.Duration, fp Fingerprint, id CrashID) bool {
	s := l.ensureSuspect(now, fp)
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
	return s != nil && s.quarantinedUntil > now
}

// openCrashCount returns the number of crashes that the fingerprint may have
// caused.
func (l *ledger) openCrashCount(fp Fingerprint) int {
	return len(l.openCrashes(fp))
}

// openCrashes returns the crashes that still count against the fingerprint. A
// crash counts against all fingerprints that were present, even if one of them
// is quarantined, since two poison requests may have shared the target. An
// innocent fingerprint runs isolated until it completes and is cleared.
func (l *ledger) openCrashes(fp Fingerprint) []CrashID {
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

// recentCrashes returns the crashes younger than age, sorted by id.
func (l *ledger) recentCrashes(now, age time.Duration) []*crash {
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
		if len(s.crashes) == 0 && s.quarantinedUntil <= now && now-s.lastSeen >= l.cfg.SuspectTTL {
			delete(l.suspects, fp)
		}
	}
}

// evictOldest evicts the oldest entries beyond the configured limits.
func (l *ledger) evictOldest() {
	for len(l.crashes) > l.cfg.MaxCrashes {
		var oldest *crash
		for _, c := range l.crashes {
			if oldest == nil || c.at < oldest.at {
				oldest = c
			}
		}
		delete(l.crashes, oldest.id)
	}
	if len(l.suspects) > l.cfg.MaxSuspects {
		l.evictSuspect()
	}
}

func (l *ledger) evictSuspect() {
	var oldestFP Fingerprint
	var oldest *suspect
	for fp, s := range l.suspects {
		if oldest == nil || s.quarantinedUntil < oldest.quarantinedUntil ||
			s.quarantinedUntil == oldest.quarantinedUntil && s.lastSeen < oldest.lastSeen {
			oldestFP, oldest = fp, s
		}
	}
	delete(l.suspects, oldestFP)
}
