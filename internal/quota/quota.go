// Package quota keeps client accounts within their rate and burst over a
// whole fleet by telling the other instances what was spent.
//
// Each instance counts what it admits and sends the counts to its peers every
// few hundred milliseconds. An instance that hears all others holds the whole
// bucket of an account and takes off it what the others spent. An instance
// that hears only some of the fleet holds their part of the bucket: the parts
// of two halves that cannot talk add up to the whole, and each half goes on
// serving.
//
// What is spent between two messages is seen late. If every instance admitted
// against all that it sees in the bucket, callers that were told to come back
// when it fills would be admitted on each of them. So between two messages an
// instance admits no more than twice its share of what is left, after the
// account's recent spending here and elsewhere, and one request beyond; while
// the account has not been short, a larger multiple, since requests come
// unevenly. The debt that is left is paid before anything else is admitted.
// Leases of parts (package rate) admit no such debt but need the log every few
// seconds; counts need it never.
//
// The package is pure.
package quota

import (
	"math"
	"time"
)

// Limit is an account's rate and burst over the whole fleet.
type Limit struct {
	// Rate is tokens a second; 0 for no limit.
	Rate  float64
	Burst float64
}

// PeerTimeout is the silence, unless SetFleet gives another, after which a
// peer's part of the buckets is left
// to it: four intervals of the exchange, so that one lost message does not
// shrink the bucket.
const PeerTimeout = time.Second

// Limiter decides on the requests of one instance. It is not safe for
// concurrent use.
type Limiter struct {
	limits   map[string]Limit
	accounts map[string]*account
	peers    map[string]*peer
	// fleet is the number of instances that may be serving, this one too.
	fleet int
	// silence is the time after which a peer counts as silent.
	silence time.Duration
}

type account struct {
	balance float64
	at      time.Duration
	// spent counts all that this instance has admitted, told what its last
	// message says of that.
	spent, told float64
	// here and fleet are what was lately spent at this instance and, as far as
	// was reported, at all of them.
	here, fleet float64
	// shortUntil is the end of the time in which the account counts as short.
	shortUntil time.Duration
}

const (
	// recentFor is how fast recent spending fades, as the time in which it
	// falls by 1/e: long enough for several requests of a caller, short enough
	// to follow callers that move to other instances.
	recentFor = 4 * time.Second
	// evenPart is the part of an account's rate that counts as spent by all
	// instances alike. An instance to which callers come anew has a share by
	// it; one that gets all of the traffic keeps some eight tenths.
	evenPart = 0.25
	// shortFor is how long after a request found too few tokens the account
	// counts as short: longer than its callers wait to come back.
	shortFor = 2 * time.Second
	// shortShares is the multiple of its share that an instance may admit while
	// the account is short: the fleet may then admit twice what is left, and
	// requests that come unevenly are seldom refused while there are tokens.
	shortShares = 2.0
	// looseShares is the multiple of its share that an instance may admit
	// while the account is not short. Requests that come three at a time are
	// then refused no more often than without shares (a simulation of 61
	// instances, 300 ms between messages); with 4 one in a hundred was.
	looseShares = 8.0
)

type peer struct {
	// updated is when its last report was made.
	updated time.Duration
	spent   map[string]float64
}

// New makes a limiter for a fleet of one without limits.
func New() *Limiter {
	return &Limiter{limits: map[string]Limit{}, accounts: map[string]*account{}, peers: map[string]*peer{}, fleet: 1, silence: PeerTimeout}
}

// SetLimits takes the limits of a new configuration.
func (l *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	part := l.part(now)
	for name, a := range l.accounts {
		l.advance(now, a, l.limits[name], part)
	}
	l.limits = limits
	for name := range limits {
		l.account(now, name)
	}
}

// SetFleetSize gives the number of instances that may be serving, this one too,
// and the silence after which one of them counts as silent.
func (l *Limiter) SetFleetSize(now time.Duration, n int, silence time.Duration) {
	l.settle(now)
	l.fleet, l.silence = max(1, n), silence
}

// Report is the counts of another instance.
type Report struct {
	// Incarnation is that of the instance.
	Incarnation string
	// At is when it counted.
	At time.Duration
	// Spent is what it has admitted since its start, by account. Counts that have
	// not changed since its last report may be left out.
	Spent map[string]float64
}

// ApplyReports takes in reports. The first of an instance after a silence only sets where
// counting starts: what the instance spent meanwhile came out of its own part.
func (l *Limiter) ApplyReports(now time.Duration, reports ...Report) {
	l.settle(now)
	for _, r := range reports {
		p := l.peers[r.Incarnation]
		if p == nil {
			p = &peer{spent: map[string]float64{}, updated: r.At - l.silence - 1}
			l.peers[r.Incarnation] = p
		}
		fresh := r.At-p.updated <= l.silence
		for name, total := range r.Spent {
			if fresh {
				l.take(now, name, total-p.spent[name])
			}
			p.spent[name] = total
		}
		p.updated = r.At
	}
}

func (l *Limiter) take(now time.Duration, name string, tokens float64) {
	if tokens > 0 {
		a := l.account(now, name)
		a.balance -= tokens
		a.fleet += tokens
	}
}

// ReportSpent is what this instance has admitted since its start, by account, for
// its next message to the peers: what is admitted from now on they do not know.
func (l *Limiter) ReportSpent() map[string]float64 {
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		a.told = a.spent
		if a.spent > 0 {
			out[name] = a.spent
		}
	}
	return out
}

// Admit spends tokens of an account. When there are not enough it spends
// nothing and says how long they will take to come in.
func (l *Limiter) Admit(now time.Duration, name string, tokens float64) (wait time.Duration, ok bool) {
	limit := l.limits[name]
	if limit.Rate <= 0 {
		return 0, true
	}
	part := l.part(now)
	a := l.account(now, name)
	l.advance(now, a, limit, part)
	need := min(tokens, part*limit.Burst)
	if a.balance < need {
		a.shortUntil = now + shortFor
		return seconds((need - a.balance) / (part * limit.Rate)), false
	}
	if untold := a.spent - a.told; untold > 0 && untold > l.share(now, a, limit, part)*(a.balance+untold) {
		return l.silence / silentHalves, false
	}
	a.balance -= tokens
	a.spent += tokens
	a.here += tokens
	a.fleet += tokens
	return 0, true
}

// silentHalves is how many halves of the pause between two messages pass until
// a peer counts as silent. An instance that has admitted its share has half a
// pause left on average until it may admit more.
const silentHalves = 8

// share is the part of an account's tokens that this instance may admit before
// its next message: its part of the recent spending, of which those of a fleet
// add up to one, times what uneven callers need. One that hears no peer soon
// has its part of the bucket to itself.
func (l *Limiter) share(now time.Duration, a *account, limit Limit, part float64) float64 {
	reporting := float64(l.reporting(now))
	even := evenPart * part * limit.Rate * recentFor.Seconds()
	share := (a.here + even/reporting) / (a.fleet + even)
	if now < a.shortUntil {
		return share * shortShares
	}
	return share * looseShares
}

// Refund gives back the tokens of a request that was admitted and has not run.
func (l *Limiter) Refund(now time.Duration, name string, tokens float64) {
	if l.limits[name].Rate <= 0 {
		return
	}
	a := l.account(now, name)
	a.balance += tokens
	a.spent -= tokens
	a.here = max(0, a.here-tokens)
	a.fleet = max(0, a.fleet-tokens)
}

// account finds the account's bucket or makes one. It starts empty, when the
// account is first known: after a restart of the fleet full buckets would let
// a second burst through.
func (l *Limiter) account(now time.Duration, name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{at: now}
		l.accounts[name] = a
	}
	return a
}

// part is the part of the fleet's buckets that this instance draws from: its
// own and those of the peers that report to it.
func (l *Limiter) part(now time.Duration) float64 {
	return min(1, float64(l.reporting(now))/float64(l.fleet))
}

// reporting is the number of instances whose counts are known, this one too.
func (l *Limiter) reporting(now time.Duration) int {
	n := 1
	for _, p := range l.peers {
		if now-p.updated <= l.silence {
			n++
		}
	}
	return n
}

// settle brings all buckets to now, before the part changes, and forgets
// peers that were silent for long.
func (l *Limiter) settle(now time.Duration) {
	part := l.part(now)
	for name, a := range l.accounts {
		l.advance(now, a, l.limits[name], part)
	}
	for id, p := range l.peers {
		if now-p.updated > forgetAfter {
			delete(l.peers, id)
		}
	}
}

// forgetAfter is when a silent peer's counts are dropped.
const forgetAfter = time.Minute

func (l *Limiter) advance(now time.Duration, a *account, limit Limit, part float64) {
	if now > a.at {
		fade := math.Exp(-float64(now-a.at) / float64(recentFor))
		a.here *= fade
		a.fleet *= fade
		a.balance += part * limit.Rate * (now - a.at).Seconds()
		a.at = now
	}
	a.balance = min(a.balance, part*limit.Burst)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds bounds the hint for a limit that is next to nothing.
const maxWaitSeconds = 60
