package admission

import (
	"math"
	"time"
)

// Work is what requests need from targets.
type Work struct {
	// Tokens is the number of prompt tokens to prefill.
	Tokens float64
	// SlotSeconds is for how long the requests occupy a slot of a target.
	SlotSeconds float64
}

// Add returns the sum of two amounts of work.
func (w Work) Add(o Work) Work { return Work{w.Tokens + o.Tokens, w.SlotSeconds + o.SlotSeconds} }

func (w Work) scale(f float64) Work { return Work{w.Tokens * f, w.SlotSeconds * f} }

// Resource is a capacity of the targets that can run out.
type Resource int

// The resources of targets.
const (
	Prefill Resource = iota
	Slots
)

func (r Resource) String() string {
	if r == Slots {
		return "slots"
	}
	return "prefill"
}

// of returns the part of some work that a resource does.
func (r Resource) of(w Work) float64 {
	if r == Slots {
		return w.SlotSeconds
	}
	return w.Tokens
}

// Class are the requests of one account and urgency. An empty account stands for all that
// a report does not name.
type Class struct {
	Account string
	// Urgency is from 0, the most urgent, to MaxUrgency.
	Urgency int
}

// MaxUrgency is the number of the least urgent class.
const MaxUrgency = 9

// Demand is what the callers of one instance ask for in one class.
type Demand struct {
	Class
	// PerSecond is the work that arrives per second.
	PerSecond Work
	// Waiting is the work of the requests that wait for a target at the instance.
	Waiting Work
}

// demandWindow is the time constant of the average demand: short enough to follow a burst
// before its requests are late, long enough for the sum over a fleet to be steady.
const demandWindow = time.Second

// localDemand is the demand of one class at this instance.
type localDemand struct {
	sum      Work
	requests float64
	// waiting is the work of the waiters requests that wait for a target.
	waiting Work
	waiters int
	at      time.Duration
	// credit is the number of requests that may be admitted now. It grows by the class's
	// share with each request that arrives.
	credit float64
	// nextReturn is when the class has room for the next caller that is asked to come back.
	nextReturn time.Duration
}

func (d *localDemand) advance(now time.Duration) {
	if now <= d.at {
		return
	}
	decay := math.Exp(-float64(now-d.at) / float64(demandWindow))
	d.sum, d.requests, d.at = d.sum.scale(decay), d.requests*decay, now
}

func (d *localDemand) observe(now time.Duration, w Work) {
	d.advance(now)
	d.sum = d.sum.Add(w)
	d.requests++
}

// perSecond returns the work and the number of requests that arrive per second.
func (d *localDemand) perSecond() (Work, float64) {
	s := demandWindow.Seconds()
	return d.sum.scale(1 / s), d.requests / s
}

// idle reports whether the class can be forgotten.
func (d *localDemand) idle() bool { return d.requests < idleRequests && d.waiters == 0 }

// idleRequests is the decayed number of requests below which a class is forgotten.
const idleRequests = 0.01
