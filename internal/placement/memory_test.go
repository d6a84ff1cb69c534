package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// memorySim is one target and the instances that send to it. Instances know their own requests
// and, up to a delay late, what the others hold and claim.
type memorySim struct {
	links   simLinks
	senders []*simSender
	rng     *rand.Rand

	now      time.Duration
	peakHeld int
	heldSum  float64
	steps    int
	served   map[bool]int // by whether the request is long
	timedOut map[bool]int
}

// simLinks says how late instances know of each other: each publishes its state at an interval,
// which reaches another one after the transit time or later, when that one next looks.
type simLinks struct{ publishInterval, transit, lookInterval time.Duration }

func (l simLinks) maxDelay() time.Duration { return l.transit + l.lookInterval + 2*simStep }

type simSender struct {
	share *MemoryShare
	// heldTokens is what its requests occupy.
	heldTokens int
	running    []simRun
	waiting    []simRun
	// published holds what the sender has told the others, newest last.
	published []simReport
	publishAt time.Duration
	// peersHeld is what it knows of the others' requests since it last looked.
	peersHeld int
	lookAt    time.Duration
}

type simReport struct {
	at    time.Duration
	held  int
	claim MemoryClaim
}

type simRun struct {
	tokens int
	// at is the arrival of a waiting request and the end of a running one.
	at time.Duration
}

const (
	simStep           = 10 * time.Millisecond
	simRequestTimeout = 15 * time.Second
	// simScanLimit is the number of waiting requests of one sender that are tried per step.
	simScanLimit = 8

	simMemory    = 202_589
	simHold      = 4 * time.Second
	simShortMean = 2_400
	simLongMin   = 6_000
	simLongMax   = 18_000
	simLargest   = 54_600
)

func newMemorySim(senders int, links simLinks, seed uint64) *memorySim {
	s := &memorySim{
		links: links, rng: rand.New(rand.NewPCG(seed, seed)),
		served: map[bool]int{}, timedOut: map[bool]int{},
	}
	for i := range senders {
		s.senders = append(s.senders, &simSender{
			share:     NewMemoryShare(fmt.Sprintf("i%02d", i)),
			publishAt: time.Duration(s.rng.Int64N(int64(links.publishInterval))),
			lookAt:    time.Duration(s.rng.Int64N(int64(links.lookInterval))),
		})
	}
	return s
}

// requestTokens draws a size: of a hundred requests, 89 are short, 10 are long and one is as
// large as they come.
func (s *memorySim) requestTokens() int {
	switch n := s.rng.IntN(100); {
	case n == 0:
		return simLargest
	case n <= 10:
		return simLongMin + s.rng.IntN(simLongMax-simLongMin)
	}
	return simShortMean/2 + s.rng.IntN(simShortMean)
}

const simMeanTokens = (89*simShortMean + 10*(simLongMin+simLongMax)/2 + simLargest) / 100.0

func isLong(tokens int) bool { return tokens >= simLongMin }

// run simulates the given time with requests that arrive at random and would on average occupy
// load times the memory if all were run at once.
func (s *memorySim) run(duration time.Duration, load float64) {
	perStep := load * simMemory / simMeanTokens * simStep.Seconds() / simHold.Seconds()
	for end := s.now + duration; s.now < end; s.now += simStep {
		for n := perStep; s.rng.Float64() < n; n-- {
			to := s.senders[s.rng.IntN(len(s.senders))]
			to.waiting = append(to.waiting, simRun{tokens: s.requestTokens(), at: s.now})
		}
		held := 0
		for _, sender := range s.senders {
			s.step(sender)
			held += sender.heldTokens
		}
		s.peakHeld = max(s.peakHeld, held)
		s.heldSum += float64(held)
		s.steps++
	}
}

func (s *memorySim) step(sender *simSender) {
	running := sender.running[:0]
	for _, r := range sender.running {
		if r.at <= s.now {
			sender.heldTokens -= r.tokens
		} else {
			running = append(running, r)
		}
	}
	sender.running = running
	if s.now >= sender.lookAt {
		s.look(sender)
		sender.lookAt += s.links.lookInterval
	}
	waiting := sender.waiting[:0]
	for i, r := range sender.waiting {
		switch {
		case s.now-r.at > simRequestTimeout:
			s.timedOut[isLong(r.tokens)]++
		case i < simScanLimit && sender.share.Admit(s.now, simMemory, sender.heldTokens+sender.peersHeld, r.tokens):
			sender.heldTokens += r.tokens
			sender.running = append(sender.running, simRun{tokens: r.tokens, at: s.now + simHold/2 + time.Duration(s.rng.Int64N(int64(simHold)))})
			s.served[isLong(r.tokens)]++
		default:
			waiting = append(waiting, r)
		}
	}
	sender.waiting = waiting
	if s.now >= sender.publishAt {
		claim, _ := sender.share.Publish(s.now)
		sender.published = append(sender.published, simReport{at: s.now, held: sender.heldTokens, claim: claim})
		sender.publishAt += s.links.publishInterval
	}
}

// look updates what a sender knows of the others: their newest reports that have arrived.
func (s *memorySim) look(viewer *simSender) {
	arrived := s.now - s.links.transit
	var claims []MemoryClaim
	viewer.peersHeld = 0
	for _, peer := range s.senders {
		for len(peer.published) > 1 && peer.published[1].at <= arrived {
			peer.published = peer.published[1:]
		}
		if peer == viewer || len(peer.published) == 0 || peer.published[0].at > arrived {
			continue
		}
		viewer.peersHeld += peer.published[0].held
		if c := peer.published[0].claim; c.Tokens > 0 {
			claims = append(claims, c)
		}
	}
	viewer.share.SetPeers(s.now, s.links.maxDelay(), claims)
}

func (s *memorySim) meanUse() float64 { return s.heldSum / float64(s.steps) / simMemory }

func (s *memorySim) servedShare(long bool) float64 {
	return float64(s.served[long]) / float64(s.served[long]+s.timedOut[long])
}

// Guards against a target that fails because 80 instances, which know of each other's requests
// late, together send it more than its memory holds: demand is 1.5 times the memory. Long
// requests must get their turn meanwhile, and the memory must be used.
func TestManySendersDoNotExceedMemory(t *testing.T) {
	for name, c := range map[string]struct {
		links  simLinks
		minUse float64
	}{
		"mesh": {simLinks{125 * time.Millisecond, 5 * time.Millisecond, 125 * time.Millisecond}, 0.85},
		// Room that is known of late is used late.
		"hubs": {simLinks{200 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond}, 0.8},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				is := is.New(t)
				s := newMemorySim(80, c.links, seed)
				s.run(10*time.Second, 1.5)
				s.heldSum, s.steps = 0, 0
				s.run(30*time.Second, 1.5)
				t.Logf("peak=%.3f use=%.3f served_short=%.2f served_long=%.2f", float64(s.peakHeld)/simMemory, s.meanUse(), s.servedShare(false), s.servedShare(true))
				is.True(s.peakHeld <= simMemory)
				is.True(s.meanUse() >= c.minUse)
				is.True(s.servedShare(true) >= s.servedShare(false)/2)
			})
		}
	}
}

const (
	testDelay  = 300 * time.Millisecond
	testMemory = 100_000
)

// Guards against small requests that keep a large one from ever finding room: the others leave
// it the room that it has claimed before them.
func TestLaterClaimsLeaveRoomForEarlierOne(t *testing.T) {
	is := is.New(t)
	m := NewMemoryShare("b")
	m.SetPeers(0, testDelay, []MemoryClaim{{Instance: "c", Tokens: 50_000, Ticket: 3}})
	is.True(!m.Admit(0, testMemory, 45_000, 5_000))
	claim, ok := m.Publish(0)
	is.True(ok)
	is.Equal(claim, MemoryClaim{Instance: "b", Tokens: 5_000, Ticket: 4})
	admit := func(now time.Duration, peers ...MemoryClaim) bool {
		m.SetPeers(now, testDelay, peers)
		return m.Admit(now, testMemory, 45_000, 5_000)
	}
	for now := time.Duration(0); now <= 3*testDelay; now += 50 * time.Millisecond {
		is.True(!admit(now, MemoryClaim{Instance: "c", Tokens: 50_000, Ticket: 3}))
	}
	is.True(admit(3*testDelay, MemoryClaim{Instance: "c", Tokens: 50_000, Ticket: 5})) // a later claim yields
	_, ok = m.Claim(3 * testDelay)
	is.True(!ok) // used
}

// Guards against the claim of an instance that was killed: the room that it claimed is used
// once its state is no longer reported.
func TestClaimOfStoppedInstanceEnds(t *testing.T) {
	is := is.New(t)
	m := NewMemoryShare("b")
	m.SetPeers(0, testDelay, []MemoryClaim{{Instance: "a", Tokens: 90_000, Ticket: 1}})
	is.True(!m.Admit(0, testMemory, 0, 5_000))
	m.SetPeers(time.Second, testDelay, nil)
	is.True(m.Admit(time.Second, testMemory, 0, 5_000))
}

// Guards against an instance that was suspended and, by what it knew before, uses room that the
// others have filled meanwhile.
func TestClaimIsNotUsedAfterSuspension(t *testing.T) {
	is := is.New(t)
	m := NewMemoryShare("b")
	m.SetPeers(0, testDelay, nil)
	is.True(!m.Admit(0, testMemory, 80_000, 10_000))
	m.Publish(0)
	is.True(!m.Admit(8*time.Second, testMemory, 80_000, 10_000))
	is.True(!m.Admit(9*time.Second, testMemory, 80_000, 10_000)) // its view is as old as before
}

// Guards against a request larger than a target's memory that waits until its deadline: the
// target itself refuses it.
func TestRequestLargerThanMemoryIsSentToEmptyTarget(t *testing.T) {
	is := is.New(t)
	m := NewMemoryShare("b")
	for now := time.Duration(0); now < 2*testDelay; now += 50 * time.Millisecond {
		m.SetPeers(now, testDelay, nil)
		is.True(!m.Admit(now, testMemory, 0, 2*testMemory))
		m.Publish(now)
	}
	m.SetPeers(2*testDelay, testDelay, nil)
	is.True(m.Admit(2*testDelay, testMemory, 0, 2*testMemory))
}

// Guards against a claim that is used although the others have not been told of it.
func TestUnpublishedClaimIsNotUsed(t *testing.T) {
	is := is.New(t)
	m := NewMemoryShare("b")
	admit := func(now time.Duration, tokens int) bool {
		m.SetPeers(now, testDelay, nil)
		return m.Admit(now, testMemory, 60_000, tokens)
	}
	for now := time.Duration(0); now <= 3*testDelay; now += 50 * time.Millisecond {
		is.True(!admit(now, 20_000))
	}
	m.Publish(3 * testDelay)
	is.True(!admit(3*testDelay, 25_000)) // a larger claim counts as a new one
	is.True(!m.Published())
	m.Publish(3 * testDelay)
	for now := 3 * testDelay; now < 5*testDelay; now += 50 * time.Millisecond {
		is.True(!admit(now, 25_000))
	}
	is.True(admit(5*testDelay, 25_000))
}

// Guards against a failure for want of memory that is not recognised because the requests that
// were lost have ended already, and against one that is put down to memory long after.
func TestNearlyFullTargetIsRemembered(t *testing.T) {
	is := is.New(t)
	m := NewMemoryShare("a")
	m.Observe(0, 60_000)
	is.True(!m.WasNearlyFull(0, testMemory))
	m.Observe(time.Second, 90_000)
	m.Observe(time.Second+1, 10_000)
	is.True(m.WasNearlyFull(2*time.Second, testMemory))
	is.True(!m.WasNearlyFull(time.Second+fullnessPeriod+1, testMemory))
	m.Observe(5*time.Second, 10_000)
	is.True(!m.WasNearlyFull(5*time.Second, testMemory))
}

// Where a target's memory isn't shared, only what it holds already decides.
func TestFullWithoutSharedMemory(t *testing.T) {
	is := is.New(t)
	target := Target{MemoryTokens: testMemory, HeldTokens: 40_000, PeersHeldTokens: 39_999}
	r := &Request{HeldTokens: 54_000}
	is.True(!target.Full(0, r))
	target.HeldTokens++
	is.True(target.Full(0, r))
	target.HeldTokens = 0
	target.Memory = NewMemoryShare("a")
	is.True(!target.Full(0, &Request{HeldTokens: 10_000}))
	is.True(target.Full(0, r)) // its own size counts
}
