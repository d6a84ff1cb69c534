package overload

import "time"

// Domains detects failure domains that cannot be reached, for example behind a partition. Each
// target there would otherwise be found unreachable by itself, at the cost of a request that
// waits for a connection. It is not safe for concurrent use.
type Domains struct {
	states map[string]*domainState
}

type domainState struct {
	// failed holds when the last attempt to connect to each target timed out, since the last
	// success in the domain.
	failed  map[string]time.Duration
	blocked bool
	probeAt time.Duration
}

const (
	// minFailedTargets is the number of targets of a domain that must fail before the domain
	// counts as unreachable.
	minFailedTargets = 2
	// failureMemory is how long a failure counts.
	failureMemory = 2 * time.Second
	// domainProbeInterval is the interval between probes of an unreachable domain.
	domainProbeInterval = 500 * time.Millisecond
)

// NewDomains returns a detector for which all domains are reachable.
func NewDomains() *Domains { return &Domains{states: map[string]*domainState{}} }

func (d *Domains) state(domain string) *domainState {
	s := d.states[domain]
	if s == nil {
		s = &domainState{failed: map[string]time.Duration{}}
		d.states[domain] = s
	}
	return s
}

// Failed records that a connection to a target timed out. It returns true if the domain now
// counts as unreachable and did not before.
func (d *Domains) Failed(now time.Duration, domain, target string) bool {
	s := d.state(domain)
	for id, at := range s.failed {
		if now-at > failureMemory {
			delete(s.failed, id)
		}
	}
	s.failed[target] = now
	if s.blocked || len(s.failed) < minFailedTargets {
		return false
	}
	s.blocked, s.probeAt = true, now
	return true
}

// Reached records that a target of the domain accepted a connection or sent data. It returns true
// if the domain counted as unreachable until now.
func (d *Domains) Reached(domain string) bool {
	s := d.states[domain]
	if s == nil {
		return false
	}
	was := s.blocked
	s.blocked = false
	clear(s.failed)
	return was
}

// Unreachable returns the domains that cannot be reached.
func (d *Domains) Unreachable() map[string]bool {
	out := map[string]bool{}
	for domain, s := range d.states {
		if s.blocked {
			out[domain] = true
		}
	}
	return out
}

// DueProbes returns the unreachable domains that have to be probed now.
func (d *Domains) DueProbes(now time.Duration) []string {
	var due []string
	for domain, s := range d.states {
		if s.blocked && now >= s.probeAt {
			s.probeAt = now + domainProbeInterval
			due = append(due, domain)
		}
	}
	return due
}
