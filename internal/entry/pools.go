package entry

import (
	"context"
	"sync"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/targetconn"
)

// pools holds the engine and service pools of the configuration in force.
type pools struct {
	clock  clock
	domain string
	poller *loadPoller
	ctx    context.Context
	// announcements is shared by all pools.
	announcements *announcements

	mu       sync.RWMutex
	engines  map[string]*enginePool
	services map[string]*servicePool
}

func newPools(ctx context.Context, c clock, domain string, dial targetconn.DialFunc) *pools {
	return &pools{
		clock:         c,
		domain:        domain,
		poller:        newLoadPoller(c, dial),
		ctx:           ctx,
		announcements: newAnnouncements(c),
		engines:       make(map[string]*enginePool),
		services:      make(map[string]*servicePool),
	}
}

// configure applies a configuration. instanceCount is the number of entry instances
// that share the targets.
func (p *pools) configure(s *config.State, instanceCount int) {
	intent := s.Intent()
	byPool := make(map[string][]config.Target)
	for _, t := range intent.Targets {
		byPool[t.Pool] = append(byPool[t.Pool], t)
	}
	all := make([]config.Target, 0, len(intent.Targets))
	for _, t := range intent.Targets {
		all = append(all, t)
	}
	p.announcements.setTargets(all)
	p.mu.Lock()
	for name, cfg := range intent.Pools {
		p.configurePool(cfg, intent.Models[cfg.Model], byPool[name], instanceCount)
	}
	p.mu.Unlock()
	p.poller.setTargets(p.ctx, all, p.engine)
}

func (p *pools) configurePool(cfg config.Pool, model config.Model, targets []config.Target, instanceCount int) {
	if cfg.Kind == config.KindService {
		if p.services[cfg.Name] == nil {
			p.services[cfg.Name] = newServicePool(p.clock, p.domain)
			p.services[cfg.Name].announcements = p.announcements
		}
		p.services[cfg.Name].configure(cfg, targets)
		return
	}
	pool := p.engines[cfg.Name]
	if pool == nil {
		pool = newEnginePool(p.clock, p.domain)
		pool.announcements = p.announcements
		p.engines[cfg.Name] = pool
	}
	pool.configure(cfg, model, targets, instanceCount)
	if !pool.started {
		pool.started = true
		go pool.run(p.ctx)
	}
}

func (p *pools) engine(name string) *enginePool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.engines[name]
}

// cancelResponses cancels the responses that are expected from the engine at an address.
func (p *pools) cancelResponses(address string) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pool := range p.engines {
		pool.cancelResponses(address)
	}
}

func (p *pools) service(name string) *servicePool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[name]
}

// setDraining marks the targets that are leaving; they receive no new work.
func (p *pools) setDraining(leaving func(name string) bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pool := range p.engines {
		pool.setDraining(leaving)
	}
	for _, pool := range p.services {
		pool.setDraining(leaving)
	}
}
