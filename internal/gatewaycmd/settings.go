package gatewaycmd

import (
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/gateway"
	"github.com/mastictray/mastictray/platform"
)

// Settings are the settings of a gateway process. Each field can be set in the
// settings file or by a flag.
type Settings struct {
	Version kong.VersionFlag `help:"Print the version, then exit."`

	InstanceID string `required:"" help:"Name of this instance." group:"identity"`
	Domain     string `required:"" help:"Failure domain of this instance." group:"identity"`

	CallerListen  string `required:"" help:"ip:port for client requests." group:"listeners"`
	ReadyListen   string `required:"" help:"ip:port for the load balancer's readiness checks." group:"listeners"`
	PeerListen    string `required:"" help:"ip:port for peer instances." group:"listeners"`
	MetricsListen string `help:"ip:port for metrics; empty disables them." group:"listeners"`

	StoreAddress string `required:"" help:"ip:port of the platform's store." group:"platform"`

	Contracts []string `help:"Parts of the platform's rules that are in force. They switch on the features that serve them." group:"platform"`

	CPUShare float64 `name:"cpu-share" default:"1" help:"CPU cores that the instance may use; may be a fraction." group:"limits"`
	CPUSpeed float64 `name:"cpu-speed" default:"1" help:"Speed of a core as a multiple of a usual core's speed." group:"limits"`
	LinkMbps float64 `name:"link-mbps" default:"1000" help:"Bandwidth of the instance's network link in Mbit/s." group:"limits"`

	MemoryMB      int           `name:"memory-mb" help:"Memory of the instance in MB; 0 means no limit." group:"limits"`
	MaxFDs        int           `name:"max-fds" help:"File descriptors of the process; 0 means its limit at the start." group:"limits"`
	KeyBound      time.Duration `default:"5s" help:"Longest time for which a withdrawn key may still be accepted." group:"limits"`
	RetryRatio    float64       `default:"0.2" help:"Maximum ratio of retries to requests of a service, over all instances." group:"limits"`
	RetryReserve  float64       `default:"50" help:"Burst of retries allowed in addition, over all instances." group:"limits"`
	WeightsBound  time.Duration `default:"10s" help:"Longest time after a weights version is named for which requests may still start on an older one." group:"limits"`
	ConfigBound   time.Duration `default:"2s" help:"Longest time until a new configuration is in force on all instances." group:"limits"`
	DrainBound    time.Duration `default:"2s" help:"Longest time for which a draining target may still get new requests." group:"limits"`
	LeaseGap      time.Duration `default:"3s" help:"Minimum time between orders of two different instances to the same target." group:"limits"`
	ExposureShare float64       `default:"0.1" help:"Largest share of a service's requests that a bad version of its targets may get during an ordered rollout." group:"limits"`
	ExposureSlack float64       `default:"50" help:"Number of requests allowed in addition to the exposure share." group:"limits"`
	RollbackBound time.Duration `default:"5s" help:"Longest time for which a version known to be bad may still get requests." group:"limits"`
	PrefillRate   float64       `default:"80000" help:"Prefill rate of a model server in prompt tokens per second." group:"limits"`

	BalancerLag time.Duration `default:"2800ms" help:"Time after SIGTERM for which requests are still accepted, until the load balancer stops sending them." group:"shutdown"`
	Grace       time.Duration `default:"8s" help:"Time from SIGTERM until the process must have exited." group:"shutdown"`
}

// Validate returns an error for settings that are out of range or contradict each
// other.
func (s *Settings) Validate() error {
	if s.Grace <= s.BalancerLag+exitMargin {
		return errors.Newf("grace=%v must exceed balancer-lag=%v by more than %v", s.Grace, s.BalancerLag, exitMargin)
	}
	if s.CPUShare <= 0 || s.CPUSpeed <= 0 || s.LinkMbps <= 0 {
		return errors.Newf("cpu-share=%v cpu-speed=%v link-mbps=%v: all must be greater than 0", s.CPUShare, s.CPUSpeed, s.LinkMbps)
	}
	if s.ExposureShare <= 0 || s.ExposureShare > 1 || s.ExposureSlack < 0 || s.RollbackBound <= 0 {
		return errors.Newf("exposure-share=%v must be in (0, 1], exposure-slack=%v not negative and rollback-bound=%v positive", s.ExposureShare, s.ExposureSlack, s.RollbackBound)
	}
	if s.KeyBound <= keyMargin {
		return errors.Newf("key-bound=%v must be greater than %v", s.KeyBound, keyMargin)
	}
	return nil
}

const (
	// exitMargin is the end of the grace period that is reserved for withdrawing
	// the instance from the store and exiting.
	exitMargin = 700 * time.Millisecond
	// keyMargin is subtracted from KeyBound, since a request is sent to its
	// target some time after its key was checked.
	keyMargin = 500 * time.Millisecond
	// keyReadyFraction is the fraction of KeyBound without contact with the store
	// after which the instance reports itself as not ready.
	keyReadyFraction = 0.5
	// retryBudgetFraction is the fraction of the retry limits that is used. Each
	// instance derives its share from the fleet size that it sees, so while
	// instances join and leave the shares can add up to more than the whole.
	retryBudgetFraction = 0.7
	// retryCarryFraction is the fraction of RetryRatio by which the retries of the last
	// requests may be saved up, in fleets whose instances have a small share of RetryReserve.
	// Together with retryBudgetFraction it stays below the whole.
	retryCarryFraction = 0.15
	// leaseGapFactor lengthens LeaseGap, the pause between the orders of two lease
	// holders, to allow for clocks that run at different rates.
	leaseGapFactor = 1.1
)

const (
	// hubCores and hubMbps are the CPU cores and the bandwidth that the work of a
	// hub takes: it responds to each of its followers several times a second.
	hubCores = 0.03
	hubMbps  = 12
)

// hubCapacity returns how many times over the instance could do the work of a hub
// in addition to its own.
func (s *Settings) hubCapacity() int {
	return int(min(s.CPUShare*s.CPUSpeed/hubCores, s.LinkMbps/hubMbps))
}

// retryCarry returns the retries that may be saved up for each recent request.
func (s *Settings) retryCarry() float64 {
	if !platform.FeaturesOf(s.Contracts).LargePools {
		return 0
	}
	return retryCarryFraction * s.RetryRatio
}

// gatewaySettings converts s to the settings of package gateway, with safety margins
// applied to the limits.
func (s *Settings) gatewaySettings() gateway.Settings {
	return gateway.Settings{
		Instance: s.InstanceID, Domain: s.Domain, Capacity: s.hubCapacity(), LinkMbps: s.LinkMbps,
		CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, PeerListen: s.PeerListen, MetricsListen: s.MetricsListen,
		KeyCutoff:   s.KeyBound - keyMargin,
		KeyReadyAge: time.Duration(keyReadyFraction * float64(s.KeyBound)),
		RetryRatio:  retryBudgetFraction * s.RetryRatio, RetryReserve: retryBudgetFraction * s.RetryReserve,
		RetryCarry:   s.retryCarry(),
		WeightsBound: s.WeightsBound, ConfigBound: s.ConfigBound, DrainBound: s.DrainBound, LeaseGap: time.Duration(leaseGapFactor * float64(s.LeaseGap)),
		ExposureShare: s.ExposureShare, ExposureSlack: s.ExposureSlack, RollbackBound: s.RollbackBound,
		PrefillTokensPerSecond: s.PrefillRate,
		Features:               platform.FeaturesOf(s.Contracts), MemoryBytes: int64(s.MemoryMB) << 20,
		MaxCallerConnections: callerlimit.ConnectionsFor(s.MaxFDs),
		BalancerLag:          s.BalancerLag, DrainTimeout: s.Grace - s.BalancerLag - exitMargin,
	}
}
