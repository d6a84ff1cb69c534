package plainqueue

import (
	"math"
	"time"
)

const (
	// MaxAge is the age from which the counts of a peer are ignored. Peers send several a
	// second.
	MaxAge = 3 * time.Second
	// smoothingTime is the time constant of averages of counts, several times the interval
	// between the counts of a peer.
	smoothingTime = time.Second
	// sumInterval is the minimum time between two sums of all peers' counts.
	sumInterval = 100 * time.Millisecond
)

// Loads has the requests that peers have in flight, by target, and their arrival rates, as each
// last reported.
type Loads struct {
	peers map[string]peerLoad
}

type peerLoad struct {
	at     time.Duration
	domain string
	counts map[string]int
}

// Apply records the counts that a peer had at the given time.
func (l *Loads) Apply(at time.Duration, peer, domain string, counts map[string]int) {
	if l.peers == nil {
		l.peers = map[string]peerLoad{}
	}
	if old, ok := l.peers[peer]; ok && old.at > at {
		return
	}
	l.peers[peer] = peerLoad{at: at, domain: domain, counts: counts}
}

// Expire drops the counts of peers that have not reported since MaxAge.
func (l *Loads) Expire(now time.Duration) {
	for name, p := range l.peers {
		if now-p.at > MaxAge {
			delete(l.peers, name)
		}
	}
}

// Averages are averages over time of the counts of a service.
type Averages struct {
	// Arrivals are the requests per second, by domain.
	Arrivals map[string]float64
	// InFlight are the peers' requests in flight, by target.
	InFlight map[string]float64
	// NewestAge is the age of the newest count of a peer; MaxAge if there is none.
	NewestAge time.Duration

	updatedAt time.Duration
	started   bool
}

// Update includes the current counts of peers for the targets of a service, the peers' arrival
// rates, which they report under arrivalsKey, and the instance's own. It does nothing if it is
// called again soon.
func (a *Averages) Update(now time.Duration, l *Loads, targets []string, arrivalsKey, domain string, own float64) {
	if a.started && now-a.updatedAt < sumInterval {
		return
	}
	arrivals, inFlight := map[string]float64{domain: own}, map[string]float64{}
	a.NewestAge = MaxAge
	for _, p := range l.peers {
		if now-p.at > MaxAge {
			continue
		}
		a.NewestAge = min(a.NewestAge, now-p.at)
		arrivals[p.domain] += float64(p.counts[arrivalsKey]) / ReportedSeconds
		for _, target := range targets {
			inFlight[target] += float64(p.counts[target])
		}
	}
	weight := 1.0
	if a.started {
		weight = 1 - math.Exp(-float64(now-a.updatedAt)/float64(smoothingTime))
	}
	a.Arrivals, a.InFlight = arrivals, blend(a.InFlight, inFlight, weight)
	a.updatedAt, a.started = now, true
}

// ReportedSeconds is the number of seconds of which instances report the arrivals, at their
// current rate: they report integers.
const ReportedSeconds = 10

// Meter measures the rate of arrivals. The zero value is ready for use.
type Meter struct {
	rate      float64
	updatedAt time.Duration
}

// Observe records an arrival.
func (m *Meter) Observe(now time.Duration) {
	m.rate = m.Rate(now) + 1/smoothingTime.Seconds()
	m.updatedAt = now
}

// Rate returns the number of arrivals per second.
func (m *Meter) Rate(now time.Duration) float64 {
	return m.rate * math.Exp(-float64(now-m.updatedAt)/float64(smoothingTime))
}

// Throttle bounds what an instance sends to a service. Slots and service times alone don't show that
// the targets are full: the times include the way to them. A bound is therefore set only after a
// target has rejected a request, and is never less than what the targets accept.
type Throttle struct {
	arrivals, accepted Meter
	rejectedAt         time.Duration
	rejected           bool
}

const (
	// rejectionMemory is the time after a rejection for which sends are bounded.
	rejectionMemory = 10 * time.Second
)

// Arrived records a request of a caller, Accepted and Rejected what a target did with one.
func (t *Throttle) Arrived(now time.Duration) { t.arrivals.Observe(now) }

// Accepted records that a target has served a request.
func (t *Throttle) Accepted(now time.Duration) { t.accepted.Observe(now) }

// Rejected records that a target has refused to run a request.
func (t *Throttle) Rejected(now time.Duration) { t.rejectedAt, t.rejected = now, true }

// Arrivals returns the number of requests per second that arrive.
func (t *Throttle) Arrivals(now time.Duration) float64 { return t.arrivals.Rate(now) }

// Rate returns the number of requests per second that may be sent; 0 if no bound is needed.
func (t *Throttle) Rate(now time.Duration, p *Plan) float64 {
	if !t.rejected || now-t.rejectedAt > rejectionMemory || !p.reliable || p.Demand <= p.Capacity {
		return 0
	}
	return max(t.Arrivals(now)*p.Capacity/p.Demand, t.accepted.Rate(now))
}

// blend moves the averages towards the values by weight.
func blend(averages, values map[string]float64, weight float64) map[string]float64 {
	for key, old := range averages {
		values[key] = old + weight*(values[key]-old)
		if values[key] < minAverage {
			delete(values, key)
		}
	}
	return values
}

// minAverage is the average below which a count is taken for 0.
const minAverage = 0.001

// ServiceTime is an average of measured times.
type ServiceTime struct {
	mean    float64
	samples int
}

const (
	// serviceTimeWeight is the weight of a new sample.
	serviceTimeWeight = 0.1
	// minServiceTimeSamples is the number of samples from which the average is used.
	minServiceTimeSamples = 3
)

// Observe adds a sample.
func (t *ServiceTime) Observe(d time.Duration) {
	t.samples++
	t.mean += max(serviceTimeWeight, 1/float64(t.samples)) * (float64(d) - t.mean)
}

// Value returns the average, or 0 if there are too few samples.
func (t *ServiceTime) Value() time.Duration {
	if t.samples < minServiceTimeSamples {
		return 0
	}
	return time.Duration(t.mean)
}
