package placement

import "time"

// MemoryClaim is an instance's claim to room in the memory of a target.
type MemoryClaim struct {
	Instance string
	Tokens   int
	// Ticket orders the claims to a target. The lowest ticket is first and, among equal ones,
	// the first instance by name.
	Ticket uint64
}

func (c MemoryClaim) precedes(o MemoryClaim) bool {
	return c.Ticket < o.Ticket || c.Ticket == o.Ticket && c.Instance < o.Instance
}

// MemoryShare decides when this instance may add a request to the memory of a target that fails
// if the requests of all instances together exceed it. Each instance learns of the others'
// requests and claims late, up to a bounded delay.
//
// While a target is known to have plenty of room, requests are sent at once. The rest of its
// memory is given to claims, in the order of their tickets: a request claims the room
// that it needs, and is sent once the claim has been known to all instances for long enough and
// there is room for it after all earlier claims. Later claims leave it that room, so that large
// requests are not passed by small ones forever.
//
// Two instances that claim without knowing of each other may draw their tickets in any order,
// so each waits until it knows of all claims made before its own was known everywhere: twice
// the delay. From then on, of any two claims the later one has counted the earlier one. What is
// sent for claims therefore never exceeds the memory. What is sent at once exceeds it only if
// the instances together send more than the room that is left open within the delay.
//
// While the state of the others is older than the delay, as after this instance was suspended,
// nothing is sent for claims. The requests and claims of an instance that falls silent count as
// last reported until the caller leaves them out; without its reports there is no bound on what
// it adds.
type MemoryShare struct {
	instance string
	// own is this instance's claim; its Tokens are 0 if there is none.
	own MemoryClaim
	// published is set once the claim in its present size was handed out to be sent, and
	// publishedAt is when that was. wantedAt is when a request last needed it.
	published             bool
	publishedAt, wantedAt time.Duration
	// delay is 0 until the state of the others is known.
	delay time.Duration
	peers []MemoryClaim
	// fullest is the most that the target was known to hold since fullestAt.
	fullest   int
	fullestAt time.Duration
	// peersTotal is the sum of the peers' claims, peersAt when they were last set.
	peersTotal int
	peersAt    time.Duration
}

const (
	// usableMemory is the fraction of a target's memory that requests may hold together.
	// The rest covers what their sizes don't include, such as partly filled blocks.
	usableMemory = 0.97
	// openMemory is the fraction of the usable memory up to which requests are sent at once.
	// Each has to leave a reserve of openReserveFactor times its size, but at most
	// maxOpenReserve of the usable memory: large requests that others send in the meantime are
	// what fills a target unnoticed.
	openMemory        = 0.9
	openReserveFactor = 2
	maxOpenReserve    = 0.2
	// claimMatch is the fraction of a claim that a request must need to be sent for it.
	// Otherwise the small requests of an instance would use up the claims of its large ones.
	claimMatch = 0.5
	// claimTimeout is how long a claim stays that no request needs any more.
	claimTimeout = 100 * time.Millisecond
	// nearlyFull is the fraction of a target's memory from which a failure of the target is put
	// down to its memory: instances know of each other's requests late and estimate their sizes.
	nearlyFull = 0.85
	// fullnessPeriod is how long a target counts as nearly full after it was: the requests that
	// it loses when it fails end one after the other.
	fullnessPeriod = 2 * time.Second
)

// NewMemoryShare returns the state of an instance for one target.
func NewMemoryShare(instance string) *MemoryShare { return &MemoryShare{instance: instance} }

// SetPeers sets the claims of the other instances and the time within which each instance
// knows what another one has published.
func (m *MemoryShare) SetPeers(now, delay time.Duration, claims []MemoryClaim) {
	m.peersAt, m.delay, m.peers, m.peersTotal = now, delay, claims, 0
	for _, c := range claims {
		m.peersTotal += c.Tokens
	}
}

// Claim returns this instance's claim.
func (m *MemoryShare) Claim(now time.Duration) (MemoryClaim, bool) {
	if m.own.Tokens > 0 && now-m.wantedAt > claimTimeout {
		m.endClaim()
	}
	return m.own, m.own.Tokens > 0
}

func (m *MemoryShare) endClaim() { m.own, m.published = MemoryClaim{}, false }

// Published reports whether Publish has returned the claim in its present size.
func (m *MemoryShare) Published() bool { return m.published }

// Publish is Claim for sending the claim to the others. A claim that has been sent must be sent
// with each further update until it ends.
func (m *MemoryShare) Publish(now time.Duration) (MemoryClaim, bool) {
	c, ok := m.Claim(now)
	if ok && !m.published {
		m.published, m.publishedAt = true, now
	}
	return c, ok
}

// PeersClaimed returns what the other instances have claimed.
func (m *MemoryShare) PeersClaimed() int { return m.peersTotal }

// Observe records what the requests of all instances are known to occupy.
func (m *MemoryShare) Observe(now time.Duration, held int) {
	if held >= m.fullest || now-m.fullestAt > fullnessPeriod {
		m.fullest, m.fullestAt = held, now
	}
}

// WasNearlyFull reports whether the target was nearly full shortly before.
func (m *MemoryShare) WasNearlyFull(now time.Duration, memory int) bool {
	return memory > 0 && now-m.fullestAt <= fullnessPeriod && float64(m.fullest) >= nearlyFull*float64(memory)
}

// Admit reports whether a request may be sent to the target now. If not, it claims the room for
// it. held is what the requests of all instances are known to occupy.
func (m *MemoryShare) Admit(now time.Duration, memory, held, tokens int) bool {
	usable := int(usableMemory * float64(memory))
	tokens = min(tokens, usable) // the target itself refuses what is larger
	own, claimed := m.Claim(now)
	isClaimant := claimed && float64(tokens) >= claimMatch*float64(own.Tokens)
	otherClaims := m.peersTotal
	if claimed && !isClaimant {
		otherClaims += own.Tokens
	}
	if hasOpenRoom(usable, held+otherClaims, tokens) {
		m.use(isClaimant)
		m.Observe(now, held+tokens)
		return true
	}
	if isClaimant && tokens <= own.Tokens && m.isMature(now) &&
		held+m.earlierClaims()+tokens <= usable {
		m.use(true)
		m.Observe(now, held+tokens)
		return true
	}
	m.claim(now, tokens)
	return false
}

// expectedWait returns how long a request would wait for a claim to mature; 0 if it could be sent
// at once. Unlike Admit, it makes no claim.
func (m *MemoryShare) expectedWait(memory, held, tokens int) time.Duration {
	usable := int(usableMemory * float64(memory))
	if hasOpenRoom(usable, held+m.peersTotal, min(tokens, usable)) {
		return 0
	}
	return 2 * m.delay
}

// hasOpenRoom reports whether a request may be sent at once to a target whose usable memory is
// taken up to the given number of tokens.
func hasOpenRoom(usable, taken, tokens int) bool {
	reserve := min(openReserveFactor*float64(tokens), maxOpenReserve*float64(usable))
	return float64(taken+tokens)+reserve <= openMemory*float64(usable)
}

// use ends the claim if the request that is sent is its claimant.
func (m *MemoryShare) use(isClaimant bool) {
	if isClaimant {
		m.endClaim()
	}
}

// isMature reports whether all earlier claims are known here and this claim is known to all.
func (m *MemoryShare) isMature(now time.Duration) bool {
	return m.published && m.delay > 0 && now-m.peersAt <= m.delay && now-m.publishedAt >= 2*m.delay
}

// claim makes or enlarges the claim for a request, or keeps it.
func (m *MemoryShare) claim(now time.Duration, tokens int) {
	if m.own.Tokens == 0 {
		m.own = MemoryClaim{Instance: m.instance, Ticket: 1}
		for _, c := range m.peers {
			m.own.Ticket = max(m.own.Ticket, c.Ticket+1)
		}
	}
	if tokens > m.own.Tokens {
		m.own.Tokens, m.published = tokens, false
	}
	if float64(tokens) >= claimMatch*float64(m.own.Tokens) {
		m.wantedAt = now
	}
}

// earlierClaims returns the total of the peers' claims that precede this instance's claim.
func (m *MemoryShare) earlierClaims() int {
	sum := 0
	for _, c := range m.peers {
		if c.precedes(m.own) {
			sum += c.Tokens
		}
	}
	return sum
}
