package entry

import "time"

// refreshTargets updates what changes with time about the targets. It must run before each
// decision. p.mu must be held.
func (p *enginePool) refreshTargets() {
	p.refreshBreakers()
	p.refreshAnnouncements()
}

// refreshAnnouncements copies to the pool's targets what they have announced. p.mu must be
// held.
func (p *enginePool) refreshAnnouncements() {
	now, changed := p.clock.now(), false
	revision := p.announcements.revisionAt(now)
	if p.announcedRevision == revision && p.announcedPool == p.pool {
		return
	}
	p.announcedRevision, p.announcedPool = revision, p.pool
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		_, paused := p.announcements.pausedUntil(now, p.addresses[t.Name])
		leaving := p.announcements.leavingNow(p.addresses[t.Name])
		if paused != t.Paused || leaving != t.Leaving {
			t.Paused, t.Leaving, changed = paused, leaving, true
			p.pool.ApplyFilters(i)
		}
	}
	if changed {
		p.updateActiveVersion()
	}
}

// withdrawnLocked reports whether all targets pause or leave, and when a request is to be sent again
// then: at the end of the shortest pause, else after the usual time. p.mu must be held.
func (p *enginePool) withdrawnLocked(usual time.Duration) (time.Duration, bool) {
	var addresses []string
	for i := range p.pool.Len() {
		if t := p.pool.Target(i); !t.Draining && !t.Leaving {
			addresses = append(addresses, p.addresses[t.Name])
		}
	}
	if len(addresses) == 0 {
		return usual, p.pool.Len() > 0
	}
	rest := p.announcements.retryAfter(p.clock.now(), addresses, 0)
	if rest == 0 {
		return usual, false
	}
	return rest, true
}

// withdrawn is withdrawnLocked without p.mu held.
func (p *enginePool) withdrawn(usual time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withdrawnLocked(usual)
}

// noTargetRetryAfter returns when a request that no target can take is to be sent again.
// p.mu must be held.
func (p *enginePool) noTargetRetryAfter(usual time.Duration) time.Duration {
	retryAfter, _ := p.withdrawnLocked(usual)
	return retryAfter
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
	return !paused && !a.leavingNow(address)
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
