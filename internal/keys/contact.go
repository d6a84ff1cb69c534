package keys

import "time"

// Contact says when this instance last heard from where withdrawals come
// from. Times are monotonic, since an arbitrary start of the process.
type Contact struct {
	Now time.Duration
	// LastLogRead is when a read of the config stream last succeeded.
	LastLogRead time.Duration
	// LastPeerAnswer is when a peer last answered that could know more.
	LastPeerAnswer time.Duration
}

// Age is how long neither the log nor a peer was heard.
func (c Contact) Age() time.Duration {
	return c.Now - max(c.LastLogRead, c.LastPeerAnswer)
}

// never is the time of a contact that was not yet made.
const never = time.Duration(-1 << 62)

// UnknownLogAge is the log age of a peer that has not heard of the log at all.
const UnknownLogAge = time.Duration(-1)

// ContactTracker collects the times of contact of one instance.
type ContactTracker struct {
	domain   string
	lastLog  time.Duration
	lastSame time.Duration
	lastElse time.Duration
}

// NewContactTracker starts without any contact. A start counts for nothing: in a
// domain that is cut off, each restart would give withdrawn keys another
// cut-off time.
func NewContactTracker(domain string) *ContactTracker {
	return &ContactTracker{domain: domain, lastLog: never, lastSame: never, lastElse: never}
}

// LogRead notes a successful read of the config stream, also an empty one.
func (c *ContactTracker) LogRead(now time.Duration) { c.lastLog = max(c.lastLog, now) }

// LogAge is how long ago the log was read, by this instance or by one that
// has passed on what it read; Unknown for never. It is what Peer takes.
func (c *ContactTracker) LogAge(now time.Duration) time.Duration {
	if c.lastLog == never {
		return UnknownLogAge
	}
	return now - c.lastLog
}

// PeerAnswered notes an answer from a peer of the domain. logAge is the peer's
// LogAge: what was known then, the peer has passed on.
func (c *ContactTracker) PeerAnswered(domain string, now, logAge time.Duration) {
	if logAge >= 0 {
		c.lastLog = max(c.lastLog, now-logAge)
	}
	if domain == c.domain {
		c.lastSame = max(c.lastSame, now)
	} else {
		c.lastElse = max(c.lastElse, now)
	}
}

// ContactAt gives the contact at a time. With several domains only peers of
// another one count: the instances of a domain that is cut off as a whole
// go on hearing each other, and none of them hears of a withdrawal.
func (c *ContactTracker) ContactAt(now time.Duration, severalDomains bool) Contact {
	peer := c.lastElse
	if !severalDomains {
		peer = max(peer, c.lastSame)
	}
	return Contact{Now: now, LastLogRead: c.lastLog, LastPeerAnswer: peer}
}
