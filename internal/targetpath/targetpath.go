// Package targetpath decides by which path an instance connects to its targets: directly, or
// through a peer while the direct path is blocked and the peer's is not. An instance that can't
// reach a target can't tell by itself whether the target is down. Only if no peer reaches it
// either, it counts as down.
//
// The package does no I/O and reads no clock.
package targetpath

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// HeadStart is how long a connection attempt over the preferred path may take before the
	// other path is tried as well. It is many round trips.
	HeadStart = 100 * time.Millisecond
	// ProbeInterval is the interval between attempts to connect directly to a target whose
	// direct path is blocked.
	ProbeInterval = 500 * time.Millisecond
	// relaySuspension is how long no peer is asked for a target that no peer could reach.
	relaySuspension = 500 * time.Millisecond
	// recoveryTime is how long after a path has recovered more of the others are probed at a
	// time, by recoveryFactor.
	recoveryTime   = time.Second
	recoveryFactor = 16
	// peerFailureMemory is how long a peer that could not connect to a target is asked last.
	peerFailureMemory = time.Second
)

// Tracker holds what is known of the paths to the targets, by address. It is not safe for
// concurrent use.
type Tracker struct {
	blocked        map[string]*blockedPath
	suspendedUntil map[string]time.Duration
	peerFailedAt   map[string]time.Duration
	// recoveringUntil is the end of recoveryTime.
	recoveringUntil time.Duration
}

// blockedPath is a direct path over which no connection can be made.
type blockedPath struct {
	probeAt time.Duration
	// confirmed is set once a probe has failed too. A single lost packet does not block a path.
	confirmed bool
}

// New returns a Tracker for which all direct paths are open.
func New() *Tracker {
	return &Tracker{blocked: map[string]*blockedPath{}, suspendedUntil: map[string]time.Duration{}, peerFailedAt: map[string]time.Duration{}}
}

// Blocked reports whether the direct path to a target is blocked.
func (t *Tracker) Blocked(address string) bool { return t.blocked[address] != nil }

// BlockedCount returns the number of targets whose direct paths are blocked.
func (t *Tracker) BlockedCount() int { return len(t.blocked) }

// ConfirmedCount returns the number of targets whose direct paths have stayed blocked.
func (t *Tracker) ConfirmedCount() int {
	n := 0
	for _, path := range t.blocked {
		if path.confirmed {
			n++
		}
	}
	return n
}

// ProbeFailed records that a probe of a blocked path has failed. It returns true if that is the
// first one.
func (t *Tracker) ProbeFailed(address string) (confirmed bool) {
	path := t.blocked[address]
	if path == nil || path.confirmed {
		return false
	}
	path.confirmed = true
	return true
}

// MayRelay reports whether peers may be asked to connect to a target.
func (t *Tracker) MayRelay(now time.Duration, address string) bool {
	return now >= t.suspendedUntil[address]
}

// DirectConnected records a direct connection. It returns true if the path counted as blocked;
// the other blocked paths are probed at once then, since they usually recover together.
func (t *Tracker) DirectConnected(now time.Duration, address string) (recovered bool) {
	if t.blocked[address] == nil {
		return false
	}
	delete(t.blocked, address)
	t.recoveringUntil = now + recoveryTime
	for _, path := range t.blocked {
		path.probeAt = now
	}
	return true
}

// Relayed records that a peer has connected to a target and a direct attempt has not. It returns
// true if the path counted as open.
func (t *Tracker) Relayed(now time.Duration, address string) (blocked bool) {
	delete(t.suspendedUntil, address)
	if t.blocked[address] != nil {
		return false
	}
	t.blocked[address] = &blockedPath{probeAt: now + ProbeInterval}
	return true
}

// Unreachable records that no peer could connect to a target.
func (t *Tracker) Unreachable(now time.Duration, address string) {
	t.suspendedUntil[address] = now + relaySuspension
}

// PeerFailed records that a peer could not connect to a target.
func (t *Tracker) PeerFailed(now time.Duration, peer string) { t.peerFailedAt[peer] = now }

// DueProbes returns the targets to which a direct connection has to be tried now: at most limit,
// and more after another path has recovered.
func (t *Tracker) DueProbes(now time.Duration, limit int) []string {
	if now < t.recoveringUntil {
		limit *= recoveryFactor
	}
	var due []string
	for address, path := range t.blocked {
		if len(due) < limit && now >= path.probeAt {
			path.probeAt = now + ProbeInterval
			due = append(due, address)
		}
	}
	return due
}

// Forget drops what is known of the path to a target that is gone.
func (t *Tracker) Forget(address string) { delete(t.blocked, address) }

// Expire drops what is too old to count.
func (t *Tracker) Expire(now time.Duration) {
	for address, until := range t.suspendedUntil {
		if now >= until {
			delete(t.suspendedUntil, address)
		}
	}
	for peer, at := range t.peerFailedAt {
		if now-at > peerFailureMemory {
			delete(t.peerFailedAt, peer)
		}
	}
}

// Peer is an instance that may relay connections.
type Peer struct {
	Name    string
	Address string
	Domain  string
	// Unreached is the number of targets that the peer itself does not reach directly.
	Unreached int
}

// Order sorts peers by the order in which they are asked: first those that reach the most targets,
// by orders of magnitude, and have not failed lately. Among equals, one of the instance's own
// domain is first, and the next ones are of other domains: a whole domain may be partitioned
// without knowing it yet.
func (t *Tracker) Order(now time.Duration, domain string, peers []Peer, rng *rand.Rand) {
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	class := func(p Peer) int {
		c := 2 * bits.Len(uint(p.Unreached))
		if at, failed := t.peerFailedAt[p.Name]; failed && now-at <= peerFailureMemory {
			c++
		}
		return c
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(class(a), class(b)) })
	last := domain
	for i := range min(len(peers), maxDiverse) {
		for j := i; j < len(peers) && class(peers[j]) == class(peers[i]); j++ {
			if (peers[j].Domain == last) == (i == 0) {
				peers[i], peers[j] = peers[j], peers[i]
				break
			}
		}
		last = peers[i].Domain
	}
}

// maxDiverse is the number of peers in an order for which the domains alternate.
const maxDiverse = 4
