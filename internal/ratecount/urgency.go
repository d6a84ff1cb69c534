package ratecount

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MaxUrgency is the number of the least urgent class of requests; 0 is the most urgent.
const MaxUrgency = 9

// Demand is what an instance's callers have asked for of one account in one urgency.
type Demand struct {
	Account string
	Urgency int
	// TokensPerSecond is the rate of tokens asked for, admitted or not.
	TokensPerSecond float64
}

const (
	// demandDecay is the time in which the sums of tokens asked for decay to 1/e.
	demandDecay = 2 * time.Second
	// reserveHorizon is the time for which an account's more urgent demand is reserved: the
	// reports of what peers spend meanwhile arrive within it.
	reserveHorizon = time.Second
	// maxReserveFraction bounds the reserve as a fraction of the burst, so that a request
	// of the size of half the burst can be admitted in any urgency.
	maxReserveFraction = 0.5
	// reserveFloorRatio is how often the less urgent requests of an account are admitted at
	// least, relative to its more urgent ones. None may be served less than a quarter as
	// often; the rest is for the error of the measured demand.
	reserveFloorRatio = 0.3
	// maxDemandRows bounds the demand that an instance reports. Only accounts that are
	// short of tokens are reported.
	maxDemandRows = 12
)

// urgencies is the demand of one account by urgency.
type urgencies struct {
	// asked are decaying sums of the tokens asked for here. credit is the number of
	// requests by which the floor of an urgency is behind.
	asked, credit [MaxUrgency + 1]float64
	at            time.Duration
	// peers is the rate of tokens asked for at peers with fresh reports, computed at
	// peersAt.
	peers   [MaxUrgency + 1]float64
	peersAt time.Duration
	// short is set if a peer reports that the account is short of tokens.
	short bool
}

func (u *urgencies) advance(now time.Duration) {
	if now <= u.at {
		return
	}
	decay := math.Exp(-float64(now-u.at) / float64(demandDecay))
	for i := range u.asked {
		u.asked[i] *= decay
	}
	u.at = now
}

// perSecond returns the rate of tokens asked for in the fleet.
func (u *urgencies) perSecond(urgency int) float64 {
	return u.asked[urgency]/demandDecay.Seconds() + u.peers[urgency]
}

// AdmitByUrgency is Admit for accounts whose less urgent requests are to be refused first.
// While the account is short of tokens, here or at a peer, a part of its bucket is reserved
// for the more urgent demand of the fleet's callers. It never admits more than Admit.
func (l *Limiter) AdmitByUrgency(now time.Duration, name string, urgency int, tokens float64) (wait time.Duration, ok bool) {
	limit := l.limits[name]
	if limit.Rate <= 0 {
		return 0, true
	}
	urgency = min(max(urgency, 0), MaxUrgency)
	fraction := l.fleetFraction(now)
	a := l.ensureAccount(now, name)
	l.advance(now, a, limit, fraction)
	if a.urgencies == nil {
		a.urgencies = &urgencies{at: now, peersAt: -1}
	}
	u := a.urgencies
	u.advance(now)
	u.asked[urgency] += tokens
	l.updatePeerDemand(now, name, u)
	if now >= a.depletedUntil && !u.short {
		return l.Admit(now, name, tokens)
	}
	claimed := u.claimed(urgency)
	u.addFloor(urgency, claimed, limit)
	if missing := u.reserveDeficit(claimed, tokens, a.balance, fraction*limit.Burst); missing > 0 && u.credit[urgency] < 1 {
		a.depletedUntil = now + depletedPeriod
		left := max(limit.Rate-claimed, minUnclaimedFraction*limit.Rate)
		return boundedSeconds(missing / (fraction * left)), false
	}
	wait, ok = l.Admit(now, name, tokens)
	if ok {
		u.credit[urgency] = max(-maxFloorCredit, u.credit[urgency]-1)
	}
	return wait, ok
}

// minUnclaimedFraction is the part of a rate that is assumed to be left to less urgent
// requests when they are told when to come back.
const minUnclaimedFraction = 0.1

// claimed returns the rate of tokens that more urgent requests ask for.
func (u *urgencies) claimed(urgency int) (perSecond float64) {
	for i := range urgency {
		perSecond += u.perSecond(i)
	}
	return perSecond
}

// addFloor counts a request towards the floor of its urgency, which remains if the more
// urgent claim the whole rate for long.
func (u *urgencies) addFloor(urgency int, claimed float64, limit Limit) {
	floor := reserveFloorRatio * min(1, limit.Rate/max(1, claimed+reserveFloorRatio*u.perSecond(urgency)))
	u.credit[urgency] = min(maxFloorCredit, u.credit[urgency]+floor)
}

// maxFloorCredit is the number of requests by which the floor may be behind or ahead.
const maxFloorCredit = 3.0

// reserveDeficit returns the tokens that a request lacks if those that more urgent ones
// claim are reserved.
func (u *urgencies) reserveDeficit(claimed, tokens, balance, burst float64) float64 {
	if claimed == 0 {
		return 0
	}
	reserve := min(claimed*reserveHorizon.Seconds(), maxReserveFraction*burst)
	return min(tokens, burst-reserve) + reserve - balance
}

// peerDemandInterval is the interval at which the demand of the peers is summed up.
const peerDemandInterval = 100 * time.Millisecond

func (l *Limiter) updatePeerDemand(now time.Duration, name string, u *urgencies) {
	if u.peersAt >= 0 && now-u.peersAt < peerDemandInterval {
		return
	}
	u.peersAt, u.peers, u.short = now, [MaxUrgency + 1]float64{}, false
	for _, p := range l.peers {
		if now-p.lastReportAt > l.peerTimeout {
			continue
		}
		for i := range p.demand {
			if d := &p.demand[i]; d.Account == name {
				u.peers[min(max(d.Urgency, 0), MaxUrgency)] += d.TokensPerSecond
				u.short = true
			}
		}
	}
}

// ReportDemand returns the demand of the accounts that are short of tokens, for the next
// report to the peers.
func (l *Limiter) ReportDemand(now time.Duration) []Demand {
	var out []Demand
	for name, a := range l.accounts {
		if a.urgencies == nil || now >= a.depletedUntil {
			continue
		}
		a.urgencies.advance(now)
		for urgency, sum := range a.urgencies.asked {
			if perSecond := sum / demandDecay.Seconds(); perSecond >= 1 {
				out = append(out, Demand{Account: name, Urgency: urgency, TokensPerSecond: perSecond})
			}
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Urgency, b.Urgency))
	})
	return out[:min(len(out), maxDemandRows)]
}
