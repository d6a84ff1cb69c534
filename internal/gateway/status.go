package gateway

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// Status is the state of an instance as shown to operators.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	// Role is "mesh", "hub" or "follower".
	Role string `json:"role"`
	// Config is the version of the active configuration; 0 if there is none.
	Config int64 `json:"config_version"`
	// HoldsOrders is set if the instance holds the order lease.
	HoldsOrders bool `json:"holds_orders"`
	// BlockedTargets is the number of targets that are reached only through peers,
	// RelayedConnections the number of connections relayed for peers.
	BlockedTargets     int `json:"blocked_targets"`
	RelayedConnections int `json:"relayed_connections"`
	// Followers are the instances whose updates arrive directly rather than through
	// another instance.
	Followers []string       `json:"followers"`
	Domains   []DomainStatus `json:"domains"`
	// TargetMemory is what is known of the targets' memory, by target, if instances share it.
	TargetMemory map[string]TargetMemory `json:"target_memory,omitempty"`
}

// DomainStatus is what an instance knows of the other instances of one failure domain.
type DomainStatus struct {
	Domain    string `json:"domain"`
	Known     int    `json:"known"`
	Reporting int    `json:"reporting"`
	// OldestUpdateMS is the maximum age of the last updates of the reporting instances,
	// in milliseconds.
	OldestUpdateMS int64 `json:"oldest_update_ms"`
	// Via are the instances that forward the updates of this domain.
	Via []string `json:"via"`
}

// status returns the state of this instance.
func (g *Gateway) status() Status {
	now := g.clock.Now()
	_, holds := g.lease.held(now)
	s := Status{
		Instance: g.self.Instance, Incarnation: g.self.Incarnation, Domain: g.self.Domain, Config: g.configVersion(),
		HoldsOrders: holds, BlockedTargets: g.dialer.BlockedCount(), RelayedConnections: g.relays.Active(),
	}
	g.peers.addToStatus(now, &s)
	return s
}

// addToStatus adds the state of the other instances.
func (p *peers) addToStatus(now time.Duration, out *Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out.Role = "follower"
	switch {
	case p.plan.Mesh:
		out.Role = "mesh"
	case p.plan.Hub:
		out.Role = "hub"
	}
	domains := map[string]*DomainStatus{}
	for name, s := range p.known {
		d := domains[s.Domain]
		if d == nil {
			d = &DomainStatus{Domain: s.Domain}
			domains[s.Domain] = d
		}
		d.Known++
		if !p.isFresh(now, s) {
			continue
		}
		d.Reporting++
		d.OldestUpdateMS = max(d.OldestUpdateMS, (now - s.updatedAt).Milliseconds())
		if s.via == name {
			out.Followers = append(out.Followers, name)
		}
		if !slices.Contains(d.Via, s.via) {
			d.Via = append(d.Via, s.via)
		}
	}
	slices.Sort(out.Followers)
	for _, d := range domains {
		slices.Sort(d.Via)
		out.Domains = append(out.Domains, *d)
	}
	slices.SortFunc(out.Domains, func(a, b DomainStatus) int { return cmp.Compare(a.Domain, b.Domain) })
}

// serveState serves the state as JSON.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s := g.status()
	s.TargetMemory = g.targetMemory()
	if err := json.NewEncoder(w).Encode(s); err != nil {
		logline.Error(err, "state_write_failed")
	}
}

// serveMetrics serves the metrics, with the current values of the fleet's gauges.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s := g.status()
	for _, d := range s.Domains {
		g.metrics.gauge(fmt.Sprintf(`mastictray_peers_known{domain=%q}`, d.Domain)).Set(float64(d.Known))
		g.metrics.gauge(fmt.Sprintf(`mastictray_peers_reporting{domain=%q}`, d.Domain)).Set(float64(d.Reporting))
		g.metrics.gauge(fmt.Sprintf(`mastictray_peer_update_age_seconds{domain=%q}`, d.Domain)).
			Set((time.Duration(d.OldestUpdateMS) * time.Millisecond).Seconds())
	}
	g.setConfigGauges()
	g.setCapacityGauges()
	g.metrics.gauge(`mastictray_blocked_targets`).Set(float64(s.BlockedTargets))
	g.metrics.gauge(`mastictray_relayed_connections`).Set(float64(s.RelayedConnections))
	g.callers.limit.SetGauges(func(name string, value float64) { g.metrics.gauge(name).Set(value) })
	g.updateMemoryGauges()
	g.metrics.gauge(`mastictray_followers`).Set(float64(len(s.Followers)))
	for _, role := range []string{"mesh", "hub", "follower"} {
		is := 0.0
		if s.Role == role {
			is = 1
		}
		g.metrics.gauge(fmt.Sprintf(`mastictray_role{role=%q}`, role)).Set(is)
	}
	g.metrics.write(w)
}
