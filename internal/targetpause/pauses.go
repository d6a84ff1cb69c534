package targetpause

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxPause is the longest pause that is kept. A longer one is a mistake of the target, and
// would keep it out of use until it restarts.
const MaxPause = 10 * time.Minute

// ErrUnreadable means that a Retry-After value is not a number of seconds.
var ErrUnreadable = errors.New("targetpause: Retry-After is not a number of seconds")

// maxShownBytes bounds how much of an unreadable value an error shows.
const maxShownBytes = 32

// Parse returns the pause in a Retry-After value, which is in seconds and may have a
// fraction. A value over MaxPause counts as MaxPause.
func Parse(retryAfter string) (time.Duration, error) {
	value := strings.TrimSpace(retryAfter)
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Wrapf(ErrUnreadable, "value=%q", value[:min(len(value), maxShownBytes)])
	}
	if seconds >= MaxPause.Seconds() {
		return MaxPause, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Pauses holds the running pauses by key. The zero value has none. It is not safe for
// concurrent use.
type Pauses[K comparable] struct {
	ends map[K]time.Duration
}

// Pause records that the target asked for a pause of d from now on, up to MaxPause. A
// running pause never becomes shorter. The result reports whether a pause begins.
func (p *Pauses[K]) Pause(now time.Duration, key K, d time.Duration) (begins bool) {
	if d <= 0 {
		return false
	}
	end := now + min(d, MaxPause)
	running, ok := p.Until(now, key)
	if ok && running >= end {
		return false
	}
	if p.ends == nil {
		p.ends = make(map[K]time.Duration)
	}
	p.ends[key] = end
	return !ok
}

// Until returns when the pause of a key ends, and whether one is running.
func (p *Pauses[K]) Until(now time.Duration, key K) (time.Duration, bool) {
	end, ok := p.ends[key]
	if !ok || now >= end {
		return 0, false
	}
	return end, true
}

// Retain forgets the pauses that have ended and those whose key is not to be kept.
func (p *Pauses[K]) Retain(now time.Duration, keep func(K) bool) {
	for key, end := range p.ends {
		if now >= end || !keep(key) {
			delete(p.ends, key)
		}
	}
}

// Empty reports whether there are no pauses, ended ones that Retain has not seen included.
func (p *Pauses[K]) Empty() bool { return len(p.ends) == 0 }

// Left returns how long the pause of a key still lasts; 0 if none is running.
func (p *Pauses[K]) Left(now time.Duration, key K) time.Duration {
	return max(0, p.ends[key]-now)
}

// ShortestLeft returns the time until the first of the pauses of these keys ends; 0 if one of
// the keys has none.
func (p *Pauses[K]) ShortestLeft(now time.Duration, keys []K) time.Duration {
	shortest := time.Duration(0)
	for _, key := range keys {
		left := p.Left(now, key)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// Expire forgets the pauses that have ended and returns their keys.
func (p *Pauses[K]) Expire(now time.Duration) []K {
	var ended []K
	for key, end := range p.ends {
		if now >= end {
			delete(p.ends, key)
			ended = append(ended, key)
		}
	}
	return ended
}
