package crashpieces

import "time"

// Answer is what is known of the answer of one target to one request.
type Answer struct {
	begun, healthy bool
	begunAt        time.Duration
}

// Note records an event of the answer, or its end. It returns true once: when the answer shows that
// the prompt does not crash targets.
func (a *Answer) Note(now time.Duration, complete bool) bool {
	if !a.begun {
		a.begun, a.begunAt = true, now
	}
	if a.healthy || !complete && now-a.begunAt < HealthyAfter {
		return false
	}
	a.healthy = true
	return true
}

// BegunAt returns the time of the first event.
func (a *Answer) BegunAt() time.Duration { return a.begunAt }

// IsHealthy reports whether the answer has shown that the prompt does not crash targets.
func (a *Answer) IsHealthy() bool { return a.healthy }
