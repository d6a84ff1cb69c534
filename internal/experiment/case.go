package experiment

import "time"

// noisyAccount is the index of the account that sends several times its rate.
const noisyAccount = 1

// Case is one condition that the policies are compared under.
type Case struct {
	Name string
	// Length is the simulated time; the first Warmup is not measured.
	Length, Warmup time.Duration
	// CrashEvery crashes one engine after another; each is away for Away
	// and returns empty.
	CrashEvery, Away time.Duration
	// ShiftAt turns the heat of the documents around.
	ShiftAt time.Duration
	// NoisyAt is when the noisy account starts to send NoisyFactor times
	// its rate; NoisyAbsent leaves it out.
	NoisyAt     time.Duration
	NoisyFactor float64
	NoisyAbsent bool
	// Limited puts the accounts' rates before the queues.
	Limited bool
	// CutAt and CutFor cut the first failure domain off from the others.
	CutAt, CutFor time.Duration
	// ReportLag is how late load reports are.
	ReportLag time.Duration
	// EventLoss is the part of cache events lost.
	EventLoss float64
	// RollAt loads new weights on all engines.
	RollAt time.Duration
	// Restart restarts all routers at once, every restartPeriod.
	Restart bool
	// Replay lets a restarted router read the events that engines retain.
	Replay bool
}

const (
	caseLength       = 300 * time.Second
	caseWarmup       = 30 * time.Second
	defaultReportLag = 100 * time.Millisecond
	reportPeriod     = 100 * time.Millisecond
	restartPeriod    = 30 * time.Second
	restartWindow    = time.Second
	eventDelay       = 200 * time.Millisecond
)

func steady() Case {
	return Case{Name: "steady", Length: caseLength, Warmup: caseWarmup, ReportLag: defaultReportLag}
}

// Cases are the conditions, in order of weight.
func Cases() []Case {
	with := func(name string, set func(*Case)) Case {
		c := steady()
		c.Name = name
		set(&c)
		return c
	}
	return []Case{
		steady(),
		with("crash", func(c *Case) { c.CrashEvery, c.Away = 20*time.Second, 3*time.Second }),
		with("shift", func(c *Case) { c.ShiftAt = 150 * time.Second }),
		with("noisy", func(c *Case) { c.NoisyAt, c.NoisyFactor = caseWarmup, 5 }),
		with("noisy absent", func(c *Case) { c.NoisyAbsent = true }),
		with("noisy, rates limited", func(c *Case) { c.NoisyAt, c.NoisyFactor, c.Limited = caseWarmup, 5, true }),
		with("domain cut", func(c *Case) { c.CutAt, c.CutFor = 150*time.Second, 30*time.Second }),
		with("reports 2s late", func(c *Case) { c.ReportLag = 2 * time.Second }),
		with("10% events lost", func(c *Case) { c.EventLoss = 0.1 }),
		with("no cache events", func(c *Case) { c.EventLoss = 1 }),
		with("weights rolled", func(c *Case) { c.RollAt = 150 * time.Second }),
		with("herd restart", func(c *Case) { c.Restart, c.Replay = true, true }),
		with("herd restart, no events kept", func(c *Case) { c.Restart = true }),
	}
}
