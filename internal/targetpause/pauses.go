// Package targetpause keeps the pauses that targets ask for: a target that refuses a request
// may name a time for which it wants no more of them from this instance.
//
// The package does no I/O and reads no clock.
package targetpause

import "time"

// MaxPause limits a pause. A target that names a longer time, by mistake or because its
// response was damaged, is tried again after this one.
const MaxPause = 10 * time.Minute

// Pauses holds the running pauses by target. It is not safe for concurrent use.
type Pauses[K comparable] struct {
	until map[K]time.Duration
}

// New returns a Pauses without any.
func New[K comparable]() *Pauses[K] { return &Pauses[K]{until: map[K]time.Duration{}} }

// Pause starts a pause of the given length, at most MaxPause. A pause that already runs is
// never shortened.
func (p *Pauses[K]) Pause(now time.Duration, target K, length time.Duration) {
	until := now + min(length, MaxPause)
	if until > max(now, p.until[target]) {
		p.until[target] = until
	}
}

// Left returns how long a target's pause still lasts; 0 if there is none.
func (p *Pauses[K]) Left(now time.Duration, target K) time.Duration {
	return max(0, p.until[target]-now)
}

// Expire drops the pauses that have ended and returns their targets.
func (p *Pauses[K]) Expire(now time.Duration) []K {
	var ended []K
	for target, until := range p.until {
		if until <= now {
			delete(p.until, target)
			ended = append(ended, target)
		}
	}
	return ended
}

// ShortestLeft returns the time until the first of the targets is available again; 0 if one of
// them is not paused.
func (p *Pauses[K]) ShortestLeft(now time.Duration, targets []K) time.Duration {
	shortest := time.Duration(0)
	for _, target := range targets {
		left := p.Left(now, target)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
