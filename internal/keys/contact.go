package keys

import "time"

// Contact holds the times of this instance's last contact with each source of key
// withdrawals: the log, or a peer that may have read more of it. The times are on a
// monotonic clock with an arbitrary origin.
type Contact struct {
	Now time.Duration
	// LastLogRead is the time of the last successful read of the config stream.
	LastLogRead time.Duration
	// LastPeerAnswer is the time of the last answer from a peer that counts as a
	// source; see ContactTracker.ContactAt.
	LastPeerAnswer time.Duration
}

// Age returns the time since the last contact with the log or a peer.
func (c Contact) Age() time.Duration {
	return c.Now - max(c.LastLogRead, c.LastPeerAnswer)
}

// neverContacted stands for the time of a contact that has not happened.
const neverContacted = time.Duration(-1 << 62)

// UnknownLogAge is the log age of an instance that has no data from the log, neither
// read by itself nor received from a peer.
const UnknownLogAge = time.Duration(-1)

// ContactTracker records when one instance last had contact with the log and with
// peers of its own and of other failure domains.
type ContactTracker struct {
	domain          string
	lastLogRead     time.Duration
	lastSameDomain  time.Duration
	lastOtherDomain time.Duration
}

// NewContactTracker returns a tracker without any contact. The start of the process
// does not count as one: in a partitioned domain, each restart would otherwise
// extend the validity of withdrawn keys by another key-cutoff.
func NewContactTracker(domain string) *ContactTracker {
	return &ContactTracker{domain: domain, lastLogRead: neverContacted, lastSameDomain: neverContacted, lastOtherDomain: neverContacted}
}

// LogRead records a successful read of the config stream, even if it returned no
// records.
func (c *ContactTracker) LogRead(now time.Duration) { c.lastLogRead = max(c.lastLogRead, now) }

// LogAge returns the time since the log was last read, by this instance or by one
// whose data has reached it, or UnknownLogAge. Peers pass it to PeerAnswered.
func (c *ContactTracker) LogAge(now time.Duration) time.Duration {
	if c.lastLogRead == neverContacted {
		return UnknownLogAge
	}
	return now - c.lastLogRead
}

// PeerAnswered records an answer from a peer in the given domain. logAge is the
// peer's LogAge: the answer includes everything in the log up to that age.
func (c *ContactTracker) PeerAnswered(domain string, now, logAge time.Duration) {
	if logAge >= 0 {
		c.lastLogRead = max(c.lastLogRead, now-logAge)
	}
	if domain == c.domain {
		c.lastSameDomain = max(c.lastSameDomain, now)
	} else {
		c.lastOtherDomain = max(c.lastOtherDomain, now)
	}
}

// ContactAt returns the contact times as of now. In a fleet of several domains, only
// peers of other domains count: the instances of a partitioned domain still reach
// each other, but none of them learns of withdrawals.
func (c *ContactTracker) ContactAt(now time.Duration, severalDomains bool) Contact {
	peer := c.lastOtherDomain
	if !severalDomains {
		peer = max(peer, c.lastSameDomain)
	}
	return Contact{Now: now, LastLogRead: c.lastLogRead, LastPeerAnswer: peer}
}
