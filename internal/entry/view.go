package entry

import (
	"sort"

	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/wire"
)

// stateView is the response body of GET /admin/v1/state.
type stateView struct {
	Instance    string        `json:"instance"`
	Incarnation string        `json:"incarnation"`
	Domain      string        `json:"domain"`
	Ready       bool          `json:"ready"`
	Revision    int64         `json:"revision"`
	LogAgeMS    int64         `json:"log_age_ms"`
	Accounts    []accountView `json:"accounts"`
	Targets     []targetView  `json:"targets"`
	Peers       []peerView    `json:"peers"`
	Leases      []leaseView   `json:"leases"`
	RateShare   float64       `json:"rate_share"`
	Claims      claimView     `json:"claims"`
	Poison      poisonView    `json:"poison"`
}

type accountView struct {
	Name            string  `json:"name"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	BurstTokens     float64 `json:"burst_tokens"`
	// Keys are the IDs of the account's keys that are not withdrawn.
	Keys []string `json:"keys"`
}

type targetView struct {
	Name        string `json:"name"`
	Pool        string `json:"pool"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation,omitempty"`
	Version     string `json:"version,omitempty"`
	// RejectedBy names the rules for which the target gets no new requests.
	RejectedBy []string `json:"rejected_by,omitempty"`
}

type peerView struct {
	Address     string `json:"address"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	SilentMS    int64  `json:"silent_ms"`
	Leaving     bool   `json:"leaving,omitempty"`
}

type leaseView struct {
	Resource string `json:"resource"`
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Token    int64  `json:"token"`
	Mine     bool   `json:"mine,omitempty"`
}

type claimView struct {
	Keys      int `json:"keys"`
	HeldBytes int `json:"held_bytes"`
}

// poisonView describes poison requests. The counters start with the process.
type poisonView struct {
	// Suspects is the number of fingerprints that are suspects now.
	Suspects int   `json:"suspects"`
	Crashes  int64 `json:"crashes"`
	// Quarantined, Isolated and Cleared count the verdicts.
	Quarantined int64 `json:"quarantined"`
	Isolated    int64 `json:"isolated"`
	Cleared     int64 `json:"cleared"`
}

// view returns the state of the process.
func (e *Entry) view(ready bool) stateView {
	v := stateView{
		Instance: e.settings.InstanceID, Incarnation: e.node.Self().Incarnation, Domain: e.settings.Domain,
		Ready: ready, Revision: -1, LogAgeMS: e.config.logAgeMillis(), RateShare: e.rates.issuedShare(),
		Peers: e.members.peerViews(), Leases: e.rates.leaseViews(), Targets: e.pools.targetViews(), Claims: e.claims.view(), Poison: e.poison.view(),
	}
	intent := e.config.intent()
	if intent == nil {
		return v
	}
	v.Revision = intent.Revision
	for _, a := range intent.Accounts {
		v.Accounts = append(v.Accounts, accountView{Name: a.Name, TokensPerSecond: a.TokensPerSecond, BurstTokens: a.BurstTokens})
	}
	sort.Slice(v.Accounts, func(i, j int) bool { return v.Accounts[i].Name < v.Accounts[j].Name })
	for i := range v.Accounts {
		for _, k := range intent.Keys {
			if k.Account == v.Accounts[i].Name && !k.Withdrawn {
				v.Accounts[i].Keys = append(v.Accounts[i].Keys, k.ID)
			}
		}
		sort.Strings(v.Accounts[i].Keys)
	}
	return v
}

func (m *members) peerViews() []peerView {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.now()
	var list []peerView
	for _, f := range m.view.Members() {
		if f.Identity == m.node.Self() {
			continue
		}
		list = append(list, peerView{
			Address: f.Identity.Address, Instance: f.Identity.Instance, Incarnation: f.Identity.Incarnation,
			Domain: f.Identity.Domain, SilentMS: (now - m.lastHeartbeat[f.Identity.Address]).Milliseconds(),
			Leaving: f.State == wire.MemberLeaving,
		})
	}
	return list
}

func (d *rateDriver) leaseViews() []leaseView {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []leaseView
	d.holder.Table().EachHeld(func(r lease.Resource, s lease.State) {
		list = append(list, leaseView{
			Resource: string(r), Holder: s.Holder, Address: s.Address, Token: int64(s.Token),
			Mine: s.Holder == d.node.Self().Incarnation,
		})
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Resource < list[j].Resource })
	return list
}

func (p *pools) targetViews() []targetView {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var list []targetView
	for _, pool := range p.engines {
		list = append(list, pool.targetViews()...)
	}
	for _, pool := range p.services {
		list = append(list, pool.targetViews()...)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (p *enginePool) targetViews() []targetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshTargets()
	var list []targetView
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		list = append(list, targetView{
			Name: t.Name, Pool: p.cfg.Name, Domain: t.Domain, Address: p.addresses[t.Name],
			Incarnation: t.Incarnation, Version: t.Version, RejectedBy: p.pool.RejectedBy(i),
		})
	}
	return list
}

func (p *servicePool) targetViews() []targetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []targetView
	for _, t := range p.targets {
		v := targetView{Name: t.Name, Pool: p.cfg.Name, Domain: t.Domain, Address: p.addresses[t.Name]}
		if p.draining[t.Name] || p.announcements.leavingNow(v.Address) {
			v.RejectedBy = append(v.RejectedBy, "draining")
		}
		if b := p.breakers.byTarget[t.Name]; b.blocked(p.clock.now()) {
			v.RejectedBy = append(v.RejectedBy, "breaker")
		}
		if _, paused := p.announcements.pausedUntil(p.clock.now(), v.Address); paused {
			v.RejectedBy = append(v.RejectedBy, "pause")
		}
		list = append(list, v)
	}
	return list
}

func (d *claimDriver) view() claimView {
	d.mu.Lock()
	defer d.mu.Unlock()
	keys, held := d.machine.Size()
	return claimView{Keys: keys, HeldBytes: held}
}
