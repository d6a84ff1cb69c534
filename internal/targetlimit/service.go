package targetlimit

import "github.com/mastictray/mastictray/internal/directory"

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
	// records is the number of its targets in Limiter.targets.
	records int
}

// bound returns the number of rejections per second that a target can bear; 0 for any number.
func (l *Limiter) bound(t Target) float64 {
	if known := l.targets[t.Incarnation]; known != nil && known.hasStated() {
		return known.Rejections
	}
	if s := l.services[t.Service]; s != nil {
		return s.rejections
	}
	return 0
}

// hasStated reports whether an answer of the target has arrived at an instance. Only answers change
// the limit.
func (t *target) hasStated() bool { return t.Revision > 0 }

// serviceOf returns what is known of a service.
func (l *Limiter) serviceOf(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
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
	if stated {
		l.serviceOf(name).rejections = lowest
	}
}
