// Command mastictray-load sends open-loop traffic through entry instances,
// checks every answer and prints a report. Its exit status is 1 if an answer
// violates a guarantee or more requests fail than allowed.
package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/load"
)

type cli struct {
	Profile  string        `required:"" type:"existingfile" help:"INI file with the traffic profile and the client accounts."`
	Entry    []string      `required:"" help:"Base URLs of the entry instances; requests are sent to them in turn."`
	Seed     uint64        `default:"1" help:"Seed of the traffic."`
	Duration time.Duration `default:"20s" help:"How long requests are sent."`
	Requests int           `default:"100000" help:"Maximum number of requests."`
	Timeout  time.Duration `default:"60s" help:"Time limit of a request."`
	Output   string        `help:"File for the report as JSON."`

	MaxFailures int           `default:"0" help:"Maximum number of failed requests in a successful run; violations always fail it."`
	MinAnswered float64       `default:"0.1" help:"Minimum fraction of answered requests in a successful run."`
	RateSlack   time.Duration `default:"1s" help:"Time between arrival and admission of a request that the check of the accounts' rates allows for."`

	Bookings          bool     `help:"Send bookings instead of prompts, each twice, and compare them with the runs of the services."`
	BookingAccounts   []string `help:"Accounts that send the bookings; default all."`
	BookingPath       string   `default:"/bookings" help:"Route of the bookings."`
	BookingCount      int      `default:"100" help:"Number of bookings."`
	BookingsPerSecond float64  `default:"20" help:"Rate of bookings."`
	Service           []string `help:"Base URLs of the services that list the runs."`
}

// report is the result of a run with prompts or bookings.
type report interface {
	WriteTable(w io.Writer) error
}

func main() {
	c := new(cli)
	ctx := kong.Parse(c, kong.Description("Send load through mastictray and check the answers."))
	ctx.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	profile, err := load.ReadProfile(c.Profile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	entries := make([]string, 0, len(c.Entry))
	for _, e := range c.Entry {
		entries = append(entries, strings.TrimSuffix(e, "/"))
	}
	runner := load.NewRunner(profile, entries)
	progressCtx, stopProgress := context.WithCancel(ctx)
	defer stopProgress()
	go runner.WriteProgress(progressCtx, os.Stderr)
	if c.Bookings {
		return c.sendBookings(ctx, runner, profile)
	}
	return c.sendPrompts(ctx, runner, profile)
}

func (c *cli) limits() load.PassCriteria {
	return load.PassCriteria{MaxFailures: c.MaxFailures, MinAnswered: c.MinAnswered, RateSlack: c.RateSlack}
}

func (c *cli) sendPrompts(ctx context.Context, runner *load.Runner, profile load.Profile) error {
	bounds := load.RunLimits{Duration: c.Duration, MaxRequests: c.Requests, Timeout: c.Timeout}
	rep := load.Summarize(profile, c.Seed, runner.Run(ctx, c.Seed, bounds))
	rep.ConnectFailures = runner.ConnectFailures()
	return errors.CombineErrors(c.writeReport(rep), rep.CheckCriteria(c.limits()))
}

func (c *cli) sendBookings(ctx context.Context, runner *load.Runner, profile load.Profile) error {
	accounts, err := profile.SelectAccounts(c.BookingAccounts)
	if err != nil {
		return err
	}
	bookings := runner.RunBookings(ctx, c.Seed, load.BookingPlan{
		Path:      c.BookingPath,
		Accounts:  accounts,
		PerSecond: c.BookingsPerSecond,
		Count:     c.BookingCount,
		Timeout:   c.Timeout,
	})
	runs, err := runner.FetchRuns(ctx, c.Service)
	if err != nil {
		return err
	}
	rep := load.CheckBookings(bookings, runs)
	return errors.CombineErrors(c.writeReport(rep), rep.CheckCriteria(c.limits()))
}

// writeReport writes the report as a table to standard output and, if --output
// is given, as JSON to that file.
func (c *cli) writeReport(rep report) error {
	if err := rep.WriteTable(os.Stdout); err != nil {
		return errors.Wrap(err, "print report")
	}
	if c.Output == "" {
		return nil
	}
	raw, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(c.Output, append(raw, '\n'), 0o644), "write report")
}
