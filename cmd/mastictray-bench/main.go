// Command mastictray-bench measures the decisions: it compares routing
// policies on seeded traces and works out the capacity page.
package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/experiment"
)

type cli struct {
	Policies policiesCmd `cmd:"" help:"Compare routing policies on seeded traces (simulated time)."`
	Slopes   slopesCmd   `cmd:"" help:"Measure what each role costs by its size (some seconds of one core)."`
	Capacity capacityCmd `cmd:"" help:"Print the tables of docs/CAPACITY.md, worked out from the slopes."`
}

type policiesCmd struct {
	Workload string `help:"Only this workload (cantonal, charter)."`
	Case     string `help:"Only this case."`
	Policy   string `help:"Only this policy."`
	Seeds    int    `help:"Number of traces, with seeds from 1 on; their requests are measured together." default:"1"`
	Out      string `help:"Directory for policies.txt, policies.json and the plots." type:"existingdir"`

	Trust    *float64       `help:"Vary the product: HomeTrust."`
	Unseen   *float64       `help:"Vary the product: UnseenTrust."`
	Factor   *float64       `help:"Vary the product: RecomputeFactor."`
	Backlog  *float64       `help:"Vary the product: BacklogFactor."`
	Grace    *time.Duration `help:"Vary the product: BacklogGrace."`
	Window   *time.Duration `help:"Vary the product: Window."`
	NearTie  *time.Duration `help:"Vary the product: NearTie."`
	Anchor   *int           `help:"Vary the product: AnchorPieces."`
	Transfer *float64       `help:"Vary the product: TransferTokensPerSecond."`
}

// tuning is the product's, with what the command line varies.
func (c *policiesCmd) tuning() experiment.Tuning {
	t := experiment.DefaultTuning()
	vary(&t.Placement.HomeCachedFraction, c.Trust)
	vary(&t.Dispatch.RecomputeFactor, c.Factor)
	vary(&t.Dispatch.AccountBacklogFactor, c.Backlog)
	vary(&t.Placement.UnobservedHomeCachedFraction, c.Unseen)
	vary(&t.Placement.NearTie, c.NearTie)
	vary(&t.Placement.AffinityPieces, c.Anchor)
	vary(&t.Placement.TransferTokensPerSecond, c.Transfer)
	vary(&t.Dispatch.AccountBacklogGrace, c.Grace)
	vary(&t.Dispatch.MaxTargetBacklog, c.Window)
	return t
}

func vary[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// Run compares the policies and prints the table.
func (c *policiesCmd) Run() error {
	results := experiment.RunAll(experiment.Selection{Workload: c.Workload, Case: c.Case, Policy: c.Policy, Seeds: c.Seeds, Tuning: c.tuning()})
	if c.Out == "" {
		return experiment.WriteTable(os.Stdout, results)
	}
	return write(c.Out, results)
}

// write stores the table, the figures and the plots.
func write(dir string, results []experiment.Result) error {
	var table bytes.Buffer
	if err := experiment.WriteTable(&table, results); err != nil {
		return err
	}
	figures, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	for name, data := range map[string][]byte{"policies.txt": table.Bytes(), "policies.json": append(figures, '\n')} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return errors.Wrapf(err, "write results file=%s", name)
		}
	}
	return experiment.WritePlots(dir, results)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("mastictray-bench"), kong.Description("Measures mastictray's decisions."))
	k.FatalIfErrorf(k.Run())
}
