package targetlimit

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

const (
	// unknownTimeout is how long the targets of a service count as bearing few rejections if no
	// answer has told what they bear. It exceeds the time of a first answer and of an exchange with
	// peers, and bounds how long a service is restricted for an instance that gets neither.
	unknownTimeout = 3 * time.Second
	// unknownRejections is the number of rejections per second that they are taken to bear.
	unknownRejections = 1.0
)

// Target is a target as it has registered.
type Target struct {
	directory.Incarnation
	Service string
	// Slots is the number of requests that it runs at a time.
	Slots int
}

// service is what is known of the targets of a service as a whole.
type service struct {
	// rejections is the number of rejections per second that a target is taken to bear until it has
	// answered: the lowest that one of the others states or, if none is left, that one of them
	// stated last; 0 for any number.
	rejections float64
	// known is set once an answer of one of its targets has arrived here or at a peer.
	known bool
	// seenAt is when this instance learned of the service.
	seenAt time.Duration
	// limited is the number of its targets that state a limit.
	limited int
}

// bound returns the number of rejections per second that a target can bear; 0 for any number.
func (l *Limiter) bound(now time.Duration, t Target) float64 {
	if known := l.targets[t.Incarnation]; known != nil && known.hasStated() {
		return known.Rejections
	}
	s := l.serviceOf(now, t.Service)
	if l.isUnknown(now, s) {
		return unknownRejections
	}
	return s.rejections
}

// isUnknown reports whether nothing is known yet of the targets of a service.
func (l *Limiter) isUnknown(now time.Duration, s *service) bool {
	return !s.known && now-s.seenAt <= unknownTimeout
}

// ServiceBound is what an instance takes the targets of a service to bear that have not answered yet.
type ServiceBound struct {
	Service string
	// Rejections is the number of requests per second that each can reject for want of room; 0 for
	// any number.
	Rejections float64
	// Settled is set if the instance has served for so long that the slots are divided among those
	// that it knows.
	Settled bool
}

// UnknownServices returns the services of which nothing is known yet, and all of them while this instance
// doesn't know whether it has joined others.
func (l *Limiter) UnknownServices(now time.Duration) (names []string) {
	for name, s := range l.services {
		if l.isUnknown(now, s) || !l.joined && now-l.startedAt < takeoverDelay {
			names = append(names, name)
		}
	}
	return names
}

// ServiceBounds returns the bounds of those of the given services that are known here.
func (l *Limiter) ServiceBounds(now time.Duration, names []string) (bounds []ServiceBound) {
	for _, name := range names {
		if s := l.services[name]; s != nil && s.known {
			bounds = append(bounds, ServiceBound{name, s.rejections, now-l.startedAt >= takeoverDelay})
		}
	}
	return bounds
}

// ApplyServiceBounds applies what a peer knows of services that are unknown here. What the peer has
// taken from others may be older than what is known here, which therefore stays.
func (l *Limiter) ApplyServiceBounds(now time.Duration, bounds []ServiceBound) {
	for _, b := range bounds {
		l.joined, l.startedTogether = l.joined || b.Settled, l.startedTogether || !b.Settled
		if s := l.serviceOf(now, b.Service); !s.known {
			s.known, s.rejections = true, b.Rejections
		}
	}
}

// AddService records that a service exists, so that peers are asked for its bound before its first
// request.
func (l *Limiter) AddService(now time.Duration, name string) { l.serviceOf(now, name) }

// hasStated reports whether an answer of the target has arrived at an instance. Only answers change
// the limit.
func (t *target) hasStated() bool { return t.Revision > 0 }

// serviceOf returns what is known of a service.
func (l *Limiter) serviceOf(now time.Duration, name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{seenAt: now}
		l.services[name] = s
	}
	return s
}

// updateService determines what the targets of a service state, after that of one of them has changed.
func (l *Limiter) updateService(name string) {
	stated, lowest := false, 0.0
	for _, t := range l.targets {
		if t.Service != name {
			continue
		}
		stated = stated || t.hasStated()
		if lower(t.Rejections, lowest) {
			lowest = t.Rejections
		}
	}
	if s := l.services[name]; s != nil && stated {
		s.known, s.rejections = true, lowest
	}
}
