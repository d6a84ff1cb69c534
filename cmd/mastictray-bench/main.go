// Command mastictray-bench measures the decisions: it compares routing
// policies on seeded traces and works out the capacity page.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/mastictray/mastictray/internal/experiment"
)

type cli struct {
	Policies policiesCmd `cmd:"" help:"Compare routing policies on seeded traces (simulated time)."`
}

type policiesCmd struct {
	Workload string `help:"Only this workload (cantonal, charter)."`
	Case     string `help:"Only this case."`
	Seed     uint64 `help:"Seed of the traces." default:"1"`
}

// Run compares the policies and prints the table.
func (c *policiesCmd) Run() error {
	results := experiment.RunAll(experiment.Selection{Workload: c.Workload, Case: c.Case, Seed: c.Seed})
	return experiment.WriteTable(os.Stdout, results)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("mastictray-bench"), kong.Description("Measures mastictray's decisions."))
	k.FatalIfErrorf(k.Run())
}
