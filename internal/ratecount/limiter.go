// Package ratecount keeps client accounts within their rate and burst over the
// whole fleet by exchanging usage counts between instances.
//
// Each instance counts the tokens that it admits and reports the counts to its
// peers every few hundred milliseconds. An instance that receives the reports
// of all others uses the whole bucket of an account and deducts what they report
// as spent. An instance that receives only some of the reports uses the fraction
// of the bucket that belongs to itself and to the senders: the fractions of two
// halves of a partitioned fleet add up to the whole, and each half keeps serving.
//
// Spending between two reports becomes known late. If each instance admitted
// against its whole balance, refused callers that retry once the bucket is
// refilled would be admitted by all instances at the same time. Between two
// reports an instance therefore admits at most twice its share of the remaining
// tokens, in proportion to the account's recent spending here and elsewhere,
// plus one request; while the account is not depleted the multiple is larger,
// since requests arrive unevenly. Overspending leaves a negative balance, which
// is refilled before anything else is admitted. Shares held by lease (package
// ratelease) allow no overspending but need the log every few seconds; usage
// counts never need it.
//
// The package does no I/O and reads no clock.
package ratecount

import (
	"math"
	"time"
)

// Limit is the rate and burst of an account over the whole fleet.
type Limit struct {
	// Rate is in tokens per second; 0 means unlimited.
	Rate  float64
	Burst float64
}

// PeerTimeout is the default time without a report after which a peer counts as
// silent and its fraction of the buckets is left to it. It is four report
// intervals, so that a single lost report does not shrink the bucket.
const PeerTimeout = time.Second

// Limiter decides on the requests of one instance. It is not safe for concurrent
// use.
type Limiter struct {
	limits   map[string]Limit
	accounts map[string]*account
	peers    map[string]*peer
	// fleetSize is the number of instances that may be serving, including this
	// one.
	fleetSize int
	// peerTimeout is the time without a report after which a peer counts as
	// silent.
	peerTimeout time.Duration
}

type account struct {
	balance   float64
	updatedAt time.Duration
	// spent is the total that this instance has admitted; reported is the part of
	// it that the latest report included.
	spent, reported float64
	// recentLocal and recentFleet are decaying sums of the tokens spent at this
	// instance and, as far as reported, at all instances.
	recentLocal, recentFleet float64
	// depletedUntil is when the account stops counting as depleted.
	depletedUntil time.Duration
	// urgencies is nil until AdmitByUrgency is called for the account.
	urgencies *urgencies
}

const (
	// recentSpendDecay is the time in which the sums of recent spending decay to
	// 1/e: long enough to cover several requests of a caller, short enough to
	// follow callers that move to other instances.
	recentSpendDecay = 4 * time.Second
	// evenSpendFraction is the fraction of an account's rate that is assumed to be
	// spent evenly by all instances. It gives a share to an instance that the
	// account's callers have just moved to; an instance with all of the traffic
	// keeps about eight tenths.
	evenSpendFraction = 0.25
	// depletedPeriod is how long an account counts as depleted after a request
	// found too few tokens: longer than its refused callers wait before they
	// retry.
	depletedPeriod = 2 * time.Second
	// depletedShareFactor is the multiple of its share that an instance may admit
	// while the account is depleted: the fleet may then admit twice the remaining
	// tokens, and uneven arrivals are rarely refused while tokens are left.
	depletedShareFactor = 2.0
	// normalShareFactor is the multiple of its share that an instance may admit
	// while the account is not depleted. With 61 instances and 300 ms between
	// reports, requests that arrive three at a time are refused no more often than
	// without shares; a factor of 4 refuses one in a hundred.
	normalShareFactor = 8.0
)

type peer struct {
	// lastReportAt is when the peer made its latest report.
	lastReportAt time.Duration
	spent        map[string]float64
	demand       []Demand
}

// New returns a Limiter without limits for a fleet of one instance.
func New() *Limiter {
	return &Limiter{limits: map[string]Limit{}, accounts: map[string]*account{}, peers: map[string]*peer{}, fleetSize: 1, peerTimeout: PeerTimeout}
}

// SetLimits replaces the limits of all accounts.
func (l *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	fraction := l.fleetFraction(now)
	for name, a := range l.accounts {
		l.advance(now, a, l.limits[name], fraction)
	}
	l.limits = limits
	for name := range limits {
		l.ensureAccount(now, name)
	}
}

// SetFleetSize sets the number of instances that may be serving, including this
// one, and the time without a report after which a peer counts as silent.
func (l *Limiter) SetFleetSize(now time.Duration, n int, timeout time.Duration) {
	l.advanceAll(now)
	l.fleetSize, l.peerTimeout = max(1, n), timeout
}

// Report holds the counts of another instance.
type Report struct {
	// Incarnation identifies the process of the instance.
	Incarnation string
	// At is when the counts were taken.
	At time.Duration
	// Spent is the total that the instance has admitted since its start, by
	// account. Counts that are unchanged since its previous report may be left
	// out.
	Spent map[string]float64
	// Demand is the demand of accounts that are short of tokens at the instance.
	Demand []Demand
}

// ApplyReports deducts what peers report as spent. The first report of a peer
// after a silence only sets the baseline, since what the peer spent meanwhile
// came out of its own fraction of the buckets.
func (l *Limiter) ApplyReports(now time.Duration, reports ...Report) {
	l.advanceAll(now)
	for _, r := range reports {
		p := l.peers[r.Incarnation]
		if p == nil {
			p = &peer{spent: map[string]float64{}, lastReportAt: r.At - l.peerTimeout - 1}
			l.peers[r.Incarnation] = p
		}
		continuous := r.At-p.lastReportAt <= l.peerTimeout
		for name, total := range r.Spent {
			if continuous {
				l.deductRemote(now, name, total-p.spent[name])
			}
			p.spent[name] = total
		}
		p.lastReportAt, p.demand = r.At, r.Demand
	}
}

func (l *Limiter) deductRemote(now time.Duration, name string, tokens float64) {
	if tokens > 0 {
		a := l.ensureAccount(now, name)
		a.balance -= tokens
		a.recentFleet += tokens
	}
}

// ReportSpent returns what this instance has admitted since its start, by
// account, for the next report to its peers, and marks it as reported. Whatever
// is admitted later is unknown to the peers until the next report.
func (l *Limiter) ReportSpent() map[string]float64 {
	counts := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		a.reported = a.spent
		if a.spent > 0 {
			counts[name] = a.spent
		}
	}
	return counts
}

// Admit spends tokens of an account. If there are too few it spends nothing and
// returns how long until enough have accrued.
func (l *Limiter) Admit(now time.Duration, name string, tokens float64) (wait time.Duration, ok bool) {
	limit := l.limits[name]
	if limit.Rate <= 0 {
		return 0, true
	}
	fraction := l.fleetFraction(now)
	a := l.ensureAccount(now, name)
	l.advance(now, a, limit, fraction)
	need := min(tokens, fraction*limit.Burst)
	if a.balance < need {
		a.depletedUntil = now + depletedPeriod
		return boundedSeconds((need - a.balance) / (fraction * limit.Rate)), false
	}
	if unreported := a.spent - a.reported; unreported > 0 && unreported > l.share(now, a, limit, fraction)*(a.balance+unreported) {
		return l.peerTimeout / halfIntervalsPerTimeout, false
	}
	a.balance -= tokens
	a.spent += tokens
	a.recentLocal += tokens
	a.recentFleet += tokens
	return 0, true
}

// halfIntervalsPerTimeout is the number of half report intervals in the peer
// timeout. An instance that has used up its share waits half an interval on
// average until its next report.
const halfIntervalsPerTimeout = 8

// share returns the fraction of an account's tokens that this instance may admit
// before its next report: its fraction of the recent spending (these add up to
// one over the fleet) times a factor that allows for uneven arrivals. An
// instance that no longer receives reports soon has a share of one.
func (l *Limiter) share(now time.Duration, a *account, limit Limit, fraction float64) float64 {
	reporting := float64(l.reportingInstances(now))
	evenSpend := evenSpendFraction * fraction * limit.Rate * recentSpendDecay.Seconds()
	share := (a.recentLocal + evenSpend/reporting) / (a.recentFleet + evenSpend)
	if now < a.depletedUntil {
		return share * depletedShareFactor
	}
	return share * normalShareFactor
}

// Refund returns the tokens of a request that was admitted but did not run.
func (l *Limiter) Refund(now time.Duration, name string, tokens float64) {
	if l.limits[name].Rate <= 0 {
		return
	}
	a := l.ensureAccount(now, name)
	a.balance += tokens
	a.spent -= tokens
	a.recentLocal = max(0, a.recentLocal-tokens)
	a.recentFleet = max(0, a.recentFleet-tokens)
}

// ensureAccount returns the account's bucket and creates it if needed. A new
// bucket is empty: full ones would allow a second burst after a restart of the
// fleet.
func (l *Limiter) ensureAccount(now time.Duration, name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{updatedAt: now}
		l.accounts[name] = a
	}
	return a
}

// fleetFraction returns the fraction of the fleet's buckets that this instance
// draws from: its own and those of the peers that report to it.
func (l *Limiter) fleetFraction(now time.Duration) float64 {
	return min(1, float64(l.reportingInstances(now))/float64(l.fleetSize))
}

// reportingInstances returns the number of instances whose counts are known,
// including this one.
func (l *Limiter) reportingInstances(now time.Duration) int {
	n := 1
	for _, p := range l.peers {
		if now-p.lastReportAt <= l.peerTimeout {
			n++
		}
	}
	return n
}

// advanceAll advances all buckets to now, which is needed before the fleet
// fraction changes, and drops peers that have been silent for long.
func (l *Limiter) advanceAll(now time.Duration) {
	fraction := l.fleetFraction(now)
	for name, a := range l.accounts {
		l.advance(now, a, l.limits[name], fraction)
	}
	for id, p := range l.peers {
		if now-p.lastReportAt > peerRetention {
			delete(l.peers, id)
		}
	}
}

// peerRetention is how long the counts of a silent peer are kept.
const peerRetention = time.Minute

func (l *Limiter) advance(now time.Duration, a *account, limit Limit, fraction float64) {
	if now > a.updatedAt {
		decay := math.Exp(-float64(now-a.updatedAt) / float64(recentSpendDecay))
		a.recentLocal *= decay
		a.recentFleet *= decay
		a.balance += fraction * limit.Rate * (now - a.updatedAt).Seconds()
		a.updatedAt = now
	}
	a.balance = min(a.balance, fraction*limit.Burst)
}

func boundedSeconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxRetryAfterSeconds) * float64(time.Second))
}

// maxRetryAfterSeconds bounds the retry hint for accounts with a rate close to 0.
const maxRetryAfterSeconds = 60
