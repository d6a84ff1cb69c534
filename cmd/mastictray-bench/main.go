// Command mastictray-bench compares routing policies on seeded traces, and
// measures the costs that the capacity page is computed from.
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
	Slopes   slopesCmd   `cmd:"" help:"Measure how the cost of each role grows with its size (takes some seconds of one core)."`
	Capacity capacityCmd `cmd:"" help:"Print the tables of docs/CAPACITY.md, computed from the slopes."`
}

type policiesCmd struct {
	Workload string `help:"Only this workload (cantonal, charter)."`
	Case     string `help:"Only this case."`
	Policy   string `help:"Only this policy."`
	Seeds    int    `help:"Number of traces, with seeds from 1 on; results cover the requests of all traces." default:"1"`
	Out      string `help:"Directory for policies.txt, policies.json and the plots." type:"existingdir"`

	Trust    *float64       `help:"Override the fraction of a prompt's pieces that the first target in rendezvous order is assumed to hold."`
	Unseen   *float64       `help:"Override that fraction for the time until the targets' cache events have caught up."`
	Factor   *float64       `help:"Override the weight of a recomputed token relative to a waiting one."`
	Backlog  *float64       `help:"Override what each second of an account's backlog adds to that weight."`
	Grace    *time.Duration `help:"Override the backlog that adds nothing to that weight."`
	Window   *time.Duration `help:"Override the time of work queued at a target from which further requests for it are held."`
	NearTie  *time.Duration `help:"Override the difference in cost within which candidates count as equal."`
	Anchor   *int           `help:"Override the number of leading pieces that the rendezvous key covers."`
	Transfer *float64       `help:"Override the rate at which cached pieces are transferred from one target to another, in tokens per second; 0 means no transfers."`
}

// tuning returns the default tuning with the overrides of the command line.
func (c *policiesCmd) tuning() experiment.Tuning {
	t := experiment.DefaultTuning()
	override(&t.Placement.HomeCachedFraction, c.Trust)
	override(&t.Dispatch.RecomputeFactor, c.Factor)
	override(&t.Dispatch.AccountBacklogFactor, c.Backlog)
	override(&t.Placement.UnobservedHomeCachedFraction, c.Unseen)
	override(&t.Placement.NearTie, c.NearTie)
	override(&t.Placement.AffinityPieces, c.Anchor)
	override(&t.Placement.TransferTokensPerSecond, c.Transfer)
	override(&t.Dispatch.AccountBacklogGrace, c.Grace)
	override(&t.Dispatch.MaxTargetBacklog, c.Window)
	return t
}

// override sets a field if the command line has a value for it.
func override[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// Run compares the policies and prints the table of results, or writes all
// results to the output directory.
func (c *policiesCmd) Run() error {
	results := experiment.RunAll(experiment.Selection{Workload: c.Workload, Case: c.Case, Policy: c.Policy, Seeds: c.Seeds, Tuning: c.tuning()})
	if c.Out == "" {
		return experiment.WriteTable(os.Stdout, results)
	}
	return writeResults(c.Out, results)
}

// writeResults writes the table, the results as JSON and the plots.
func writeResults(dir string, results []experiment.Result) error {
	var table bytes.Buffer
	if err := experiment.WriteTable(&table, results); err != nil {
		return err
	}
	resultsJSON, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	for name, data := range map[string][]byte{"policies.txt": table.Bytes(), "policies.json": append(resultsJSON, '\n')} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return errors.Wrapf(err, "write results file=%s", name)
		}
	}
	return experiment.WritePlots(dir, results)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("mastictray-bench"), kong.Description("Compare routing policies and measure capacity."))
	k.FatalIfErrorf(k.Run())
}
