package entry

import "time"

// refreshTargets updates what changes with time about the targets. It must run before each
// decision. p.mu must be held.
func (p *enginePool) refreshTargets() {
	p.refreshBreakers()
	p.refreshPauses()
}

// refreshPauses copies the running pauses to the pool's targets. p.mu must be held.
func (p *enginePool) refreshPauses() {
	now, changed := p.clock.now(), false
	if !p.anyPaused && p.announcements.empty(now) {
		return
	}
	p.anyPaused = false
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		_, paused := p.announcements.pausedUntil(now, p.addresses[t.Name])
		p.anyPaused = p.anyPaused || paused
		if paused != t.Paused {
			t.Paused, changed = paused, true
			p.pool.ApplyFilters(i)
		}
	}
	if changed {
		p.updateActiveVersion()
	}
}

// noTargetRetryAfter returns when a request that no target can take is to be sent again: at
// the end of the shortest pause if all targets that take new work pause, else after the
// usual time. p.mu must be held.
func (p *enginePool) noTargetRetryAfter(usual time.Duration) time.Duration {
	var addresses []string
	for i := range p.pool.Len() {
		if t := p.pool.Target(i); !t.Draining {
			addresses = append(addresses, p.addresses[t.Name])
		}
	}
	return p.announcements.retryAfter(p.clock.now(), addresses, usual)
}

// retryAfter returns noTargetRetryAfter after an attempt.
func (p *enginePool) retryAfter(usual time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.noTargetRetryAfter(usual)
}

// maySend reports whether a request may be sent to the process at the address now.
func (a *announcements) maySend(now time.Duration, address string) bool {
	_, paused := a.pausedUntil(now, address)
	return !paused
}

// retryAfter returns the rest of the shortest pause if the processes at all addresses pause,
// else the usual time.
func (a *announcements) retryAfter(now time.Duration, addresses []string, usual time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, address := range addresses {
		end, paused := a.pausedUntil(now, address)
		if !paused {
			return usual
		}
		if rest := end - now; shortest == 0 || rest < shortest {
			shortest = rest
		}
	}
	if shortest == 0 {
		return usual
	}
	return shortest
}
