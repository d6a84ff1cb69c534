// Command mastictray-bench measures the decisions: it compares routing
// policies on seeded traces and works out the capacity page.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/mastictray/mastictray/internal/experiment"
)

type cli struct {
	Policies policiesCmd `cmd:"" help:"Compare routing policies on seeded traces (simulated time)."`
}

type policiesCmd struct {
	Workload string `help:"Only this workload (cantonal, charter)."`
	Case     string `help:"Only this case."`
	Policy   string `help:"Only this policy."`
	Seed     uint64 `help:"Seed of the traces." default:"1"`

	Trust    *float64       `help:"Vary the product: FirstRankTrust."`
	Factor   *float64       `help:"Vary the product: RecomputeFactor."`
	Backlog  *float64       `help:"Vary the product: BacklogFactor."`
	Window   *time.Duration `help:"Vary the product: Window."`
	NearTie  *time.Duration `help:"Vary the product: NearTie."`
	Anchor   *int           `help:"Vary the product: AnchorPieces."`
	Transfer *float64       `help:"Vary the product: TransferTokensPerSecond."`
}

// tuning is the product's, with what the command line varies.
func (c *policiesCmd) tuning() experiment.Tuning {
	t := experiment.DefaultTuning()
	vary(&t.Placement.FirstRankTrust, c.Trust)
	vary(&t.Dispatch.RecomputeFactor, c.Factor)
	vary(&t.Dispatch.BacklogFactor, c.Backlog)
	vary(&t.Placement.NearTie, c.NearTie)
	vary(&t.Placement.AnchorPieces, c.Anchor)
	vary(&t.Placement.TransferTokensPerSecond, c.Transfer)
	vary(&t.Dispatch.Window, c.Window)
	return t
}

func vary[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// Run compares the policies and prints the table.
func (c *policiesCmd) Run() error {
	results := experiment.RunAll(experiment.Selection{Workload: c.Workload, Case: c.Case, Policy: c.Policy, Seed: c.Seed, Tuning: c.tuning()})
	return experiment.WriteTable(os.Stdout, results)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("mastictray-bench"), kong.Description("Measures mastictray's decisions."))
	k.FatalIfErrorf(k.Run())
}
