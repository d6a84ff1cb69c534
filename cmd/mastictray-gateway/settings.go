package main

import (
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/gateway"
)

// Settings of a gateway process. Every field can be set in the INI file or by
// flag.
type Settings struct {
	Version kong.VersionFlag `help:"Print the version, then exit."`

	InstanceID string `required:"" help:"Name of this instance." group:"identity"`
	Domain     string `required:"" help:"Failure domain of this instance." group:"identity"`

	CallerListen  string `required:"" help:"ip:port for callers." group:"listeners"`
	ReadyListen   string `required:"" help:"ip:port where the balancer asks whether the instance is ready." group:"listeners"`
	PeerListen    string `required:"" help:"ip:port for other instances." group:"listeners"`
	MetricsListen string `help:"ip:port for metrics; empty for none." group:"listeners"`

	StoreAddress string `required:"" help:"ip:port of the platform's store." group:"platform"`

	CPUShare float64 `name:"cpu-share" default:"1" help:"Part of a core that the instance may use." group:"limits"`
	CPUSpeed float64 `name:"cpu-speed" default:"1" help:"Speed of that core, as a multiple of a usual one." group:"limits"`
	LinkMbps float64 `name:"link-mbps" default:"1000" help:"Rate of the instance's link in Mbit/s." group:"limits"`

	MemoryMB     int           `name:"memory-mb" help:"Memory of the instance in MB; 0 for no limit." group:"limits"`
	KeyBound     time.Duration `default:"5s" help:"A withdrawn key must not be used later than this." group:"limits"`
	RetryRatio   float64       `default:"0.2" help:"Most repeated sends for each request of a service, over all instances." group:"limits"`
	RetryReserve float64       `default:"50" help:"Repeated sends allowed on top, over all instances." group:"limits"`
	WeightsBound time.Duration `default:"10s" help:"No request begins on older weights later than this after newer ones were named." group:"limits"`
	ConfigBound  time.Duration `default:"2s" help:"A configuration is in force everywhere not later than this." group:"limits"`
	DrainBound   time.Duration `default:"2s" help:"A draining target gets no new work later than this." group:"limits"`
	LeaseGap     time.Duration `default:"3s" help:"Least time between orders of two instances to one target." group:"limits"`
	PrefillRate  float64       `default:"80000" help:"Prompt tokens that a model server reads in a second." group:"limits"`

	BalancerLag time.Duration `default:"2800ms" help:"After SIGTERM requests are still accepted for this long, until the balancer has noticed." group:"shutdown"`
	Grace       time.Duration `default:"8s" help:"Time from SIGTERM to the end of the process." group:"shutdown"`
}

// Validate reports settings that cannot work.
func (s *Settings) Validate() error {
	if s.Grace <= s.BalancerLag+exitMargin {
		return errors.Newf("grace=%v: expected more than balancer-lag=%v and %v", s.Grace, s.BalancerLag, exitMargin)
	}
	if s.CPUShare <= 0 || s.CPUSpeed <= 0 || s.LinkMbps <= 0 {
		return errors.Newf("cpu-share=%v cpu-speed=%v link-mbps=%v: expected more than 0", s.CPUShare, s.CPUSpeed, s.LinkMbps)
	}
	if s.KeyBound <= keyMargin {
		return errors.Newf("key-bound=%v: expected more than %v", s.KeyBound, keyMargin)
	}
	return nil
}

const (
	// exitMargin is left of the grace for leaving the store and the exit.
	exitMargin = 700 * time.Millisecond
	// keyMargin is kept to the bound on withdrawn keys: a request is sent to
	// its target some time after its key was looked at.
	keyMargin = 500 * time.Millisecond
	// keyReadyShare is the part of that bound after which the balancer is
	// asked for no more callers.
	keyReadyShare = 0.5
	// retryShare is the part of the retry bounds that is used: instances come
	// and go, and each has its part from the size of the fleet that it sees.
	retryShare = 0.7
	// leaseFactor lengthens the pause between two holders for clocks that do
	// not run alike.
	leaseFactor = 1.1
)

const (
	// hubCores and hubMbps are what a hub's work takes of a core and of a link:
	// an answer to each of its followers several times a second.
	hubCores = 0.03
	hubMbps  = 12
)

// capacity is the work of hubs that the instance can do beside its own.
func (s *Settings) capacity() int {
	return int(min(s.CPUShare*s.CPUSpeed/hubCores, s.LinkMbps/hubMbps))
}

func (s *Settings) gateway() gateway.Settings {
	return gateway.Settings{
		Instance: s.InstanceID, Domain: s.Domain, Capacity: s.capacity(), LinkMbps: s.LinkMbps,
		CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, PeerListen: s.PeerListen, MetricsListen: s.MetricsListen,
		KeyCutoff:   s.KeyBound - keyMargin,
		KeyReadyAge: time.Duration(keyReadyShare * float64(s.KeyBound)),
		RetryRatio:  retryShare * s.RetryRatio, RetryReserve: retryShare * s.RetryReserve,
		WeightsBound: s.WeightsBound, ConfigBound: s.ConfigBound, DrainBound: s.DrainBound, LeaseGap: time.Duration(leaseFactor * float64(s.LeaseGap)),
		PrefillTokensPerSecond: s.PrefillRate,
		BalancerLag:            s.BalancerLag, DrainTimeout: s.Grace - s.BalancerLag - exitMargin,
	}
}
