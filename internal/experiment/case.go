package experiment

import "time"

// noisyAccount is the index of the account that exceeds its rate in some cases.
const noisyAccount = 1

// Case is a scenario in which the policies are compared. The zero value of a fault
// means that it does not occur.
type Case struct {
	Name string
	// Duration is the simulated time. Requests during the first Warmup are not
	// measured.
	Duration, Warmup time.Duration
	// CrashEvery is the interval at which one engine after another crashes.
	// Each is down for Downtime and restarts with an empty cache.
	CrashEvery, Downtime time.Duration
	// PopularityShiftAt is when the order of the documents by popularity is
	// reversed.
	PopularityShiftAt time.Duration
	// NoisyFrom is when the noisy account starts to send NoisyFactor times its
	// rate. ExcludeNoisy removes that account from the trace.
	NoisyFrom    time.Duration
	NoisyFactor  float64
	ExcludeNoisy bool
	// RateLimited enforces the rates of the accounts before the queues.
	RateLimited bool
	// PartitionAt and PartitionDuration are the time during which the first
	// failure domain cannot reach the others.
	PartitionAt, PartitionDuration time.Duration
	// ReportLag is the delay of load reports.
	ReportLag time.Duration
	// EventLossRate is the fraction of cache events that is lost.
	EventLossRate float64
	// RolloutAt is when the rollout of a new weights version starts.
	RolloutAt time.Duration
	// RestartRouters restarts all routers at the same time, every
	// restartInterval.
	RestartRouters bool
	// ReplayEvents lets a restarted router read the cache events that the
	// engines retain.
	ReplayEvents bool
}

const (
	caseDuration     = 300 * time.Second
	caseWarmup       = 30 * time.Second
	defaultReportLag = 100 * time.Millisecond
	reportInterval   = 100 * time.Millisecond
	restartInterval  = 30 * time.Second
	// restartWindow is the time after a restart whose requests count for
	// Result.RestartHitRate.
	restartWindow = time.Second
	// eventDelay is the time from a cache change until the routers know of it.
	eventDelay = 200 * time.Millisecond
)

func steadyCase() Case {
	return Case{Name: "steady", Duration: caseDuration, Warmup: caseWarmup, ReportLag: defaultReportLag}
}

// Cases returns the cases, the most important first.
func Cases() []Case {
	newCase := func(name string, set func(*Case)) Case {
		c := steadyCase()
		c.Name = name
		set(&c)
		return c
	}
	return []Case{
		steadyCase(),
		newCase("crash", func(c *Case) { c.CrashEvery, c.Downtime = 20*time.Second, 3*time.Second }),
		newCase("shift", func(c *Case) { c.PopularityShiftAt = 150 * time.Second }),
		newCase("noisy", func(c *Case) { c.NoisyFrom, c.NoisyFactor = caseWarmup, 5 }),
		newCase("noisy absent", func(c *Case) { c.ExcludeNoisy = true }),
		newCase("noisy, rates limited", func(c *Case) { c.NoisyFrom, c.NoisyFactor, c.RateLimited = caseWarmup, 5, true }),
		newCase("domain cut", func(c *Case) { c.PartitionAt, c.PartitionDuration = 150*time.Second, 30*time.Second }),
		newCase("reports 2s late", func(c *Case) { c.ReportLag = 2 * time.Second }),
		newCase("10% events lost", func(c *Case) { c.EventLossRate = 0.1 }),
		newCase("no cache events", func(c *Case) { c.EventLossRate = 1 }),
		newCase("weights rolled", func(c *Case) { c.RolloutAt = 150 * time.Second }),
		newCase("herd restart", func(c *Case) { c.RestartRouters, c.ReplayEvents = true, true }),
		newCase("herd restart, no events kept", func(c *Case) { c.RestartRouters = true }),
	}
}
