package gateway

import (
	"fmt"
	"maps"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/servicetime"
	"github.com/mastictray/mastictray/internal/targetcapacity"
	"github.com/mastictray/mastictray/internal/wire"
)

// capacityUpdateInterval is the interval at which the rates of targets are agreed anew from
// the reports.
const capacityUpdateInterval = time.Second

// targetCapacities are the rates of one service's targets.
type targetCapacities struct {
	table     *targetcapacity.Table
	updatedAt time.Duration
	// weights are the capacity weights in use; empty while targets count as equal.
	weights map[string]float64
}

// replaceCapacityTargets sets the targets of the service after the pool was replaced. The
// caller holds s.mu.
func (s *engineService) replaceCapacityTargets(regs []directory.Registration) {
	ids := make([]directory.Incarnation, len(regs))
	for i := range regs {
		ids[i] = regs[i].Incarnation()
	}
	s.capacities.table.SetTargets(ids)
	s.capacities.weights = nil
	s.updateCapacities()
}

// measureCapacity takes a sample of a target's rate from the first token of a response. The
// caller holds s.mu.
func (s *engineService) measureCapacity(pl *enginePlacement, sample servicetime.Sample) {
	if pl.relay != "" {
		return // its latency is that of another path
	}
	if rate, ok := s.serviceTimes.MeasuredRate(sample); ok {
		s.capacities.table.Observe(sample.At, pl.target.Incarnation(), rate)
	}
}

// capacityReports returns the rates that this instance publishes.
func (s *engineService) capacityReports() []wire.TargetRate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.TargetRate
	for _, r := range s.capacities.table.Reports(s.now()) {
		out = append(out, wire.TargetRate{Target: r.Target.ID, Born: r.Target.StartedMs, PrefillTokensPerSecond: r.TokensPerSecond, Samples: r.Samples})
	}
	return out
}

// applyCapacityReports records the rates that another instance published at the given time.
func (s *engineService) applyCapacityReports(at time.Duration, instance string, rates []wire.TargetRate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rates {
		s.capacities.table.Apply(at, instance, targetcapacity.Report{
			Target: directory.Incarnation{ID: r.Target, StartedMs: r.Born}, TokensPerSecond: r.PrefillTokensPerSecond, Samples: r.Samples,
		})
	}
}

// updateCapacitiesIfDue calls updateCapacities at most once per capacityUpdateInterval. The
// caller holds s.mu.
func (s *engineService) updateCapacitiesIfDue() {
	if s.now()-s.capacities.updatedAt >= capacityUpdateInterval {
		s.updateCapacities()
	}
}

// updateCapacities passes the agreed rates and weights on to placement. While targets count as
// equal, there are none, and placement works by what this instance has learnt. The caller holds
// s.mu.
func (s *engineService) updateCapacities() {
	c := &s.capacities
	before := c.table.Spread().Unequal
	c.updatedAt = s.now()
	agreed := c.table.Update(c.updatedAt)
	spread := c.table.Spread()
	if spread.Unequal != before {
		logline.Info("target_capacity", "unequal", spread.Unequal, "ratio", spread.Ratio, "known", spread.Known, "targets", s.pool.Len())
	}
	if !spread.Unequal && !before {
		return
	}
	var rates, weights map[string]float64
	if len(agreed) > 0 {
		rates, weights = make(map[string]float64, len(agreed)), make(map[string]float64, len(agreed))
	}
	for id, a := range agreed {
		rates[id], weights[id] = a.Rate.TokensPerSecond, a.Weight
	}
	s.serviceTimes.SetAgreedRates(rates)
	for i := range s.pool.Len() {
		s.pool.SetPrefillRate(i, s.serviceTimes.Rate(s.pool.Target(i).Name))
	}
	if !maps.Equal(weights, c.weights) {
		c.weights = weights
		s.pool.SetCapacityWeights(weights)
	}
}

// capacitySpread returns how much the rates of the service's targets differ.
func (s *engineService) capacitySpread() targetcapacity.Spread {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacities.table.Spread()
}

// setCapacityGauges sets the gauges of the targets' rates by service.
func (g *Gateway) setCapacityGauges() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, service := range g.engineServices {
		spread, unequal := service.capacitySpread(), 0.0
		if spread.Unequal {
			unequal = 1
		}
		g.metrics.gauge(fmt.Sprintf(`mastictray_target_rates_agreed{service=%q}`, name)).Set(float64(spread.Known))
		g.metrics.gauge(fmt.Sprintf(`mastictray_target_rate_ratio{service=%q}`, name)).Set(spread.Ratio)
		g.metrics.gauge(fmt.Sprintf(`mastictray_slow_targets{service=%q}`, name)).Set(float64(service.slowTargetCount()))
		g.metrics.gauge(fmt.Sprintf(`mastictray_targets_weighted{service=%q}`, name)).Set(unequal)
	}
}
