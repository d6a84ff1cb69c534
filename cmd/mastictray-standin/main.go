// Command mastictray-standin fakes the services that the system meets: model
// engines, the log service, the instance list, the weight store and a plain
// service. It is for tests and the demo only.
package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/standin"
	"github.com/mastictray/mastictray/internal/standin/engine"
	"github.com/mastictray/mastictray/internal/standin/instances"
	"github.com/mastictray/mastictray/internal/standin/logsvc"
	"github.com/mastictray/mastictray/internal/standin/service"
	"github.com/mastictray/mastictray/internal/standin/weights"
)

type cli struct {
	Engine    engineCmd    `cmd:"" help:"Model engine. Faults: kill, freeze, crash_on (marker), bad_version (marker), slow (ms)."`
	Log       logCmd       `cmd:"" help:"Append-only log service. Faults: outage, slow (ms), lose_answer (n), trim (n records kept)."`
	Instances instancesCmd `cmd:"" help:"Lagging instance list. Faults: outage, slow (ms)."`
	Weights   weightsCmd   `cmd:"" help:"Weight store. Faults: outage, slow (ms)."`
	Service   serviceCmd   `cmd:"" help:"Plain service. Faults: slow (ms), drop_after_run (n), refuse (n)."`
}

type listen struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`
}

type engineCmd struct {
	listen
	Model         string  `default:"demo" help:"Model served."`
	Version       string  `default:"1" help:"Weights version served at the start."`
	Role          string  `default:"mixed" help:"Role at the start."`
	PieceBytes    int     `default:"16384" help:"Prompt bytes in a cached piece."`
	CachePieces   int     `default:"256" help:"Pieces the cache holds."`
	PrefillTPS    float64 `name:"prefill-tps" default:"40000" help:"Prompt tokens computed a second."`
	DecodeTPS     float64 `name:"decode-tps" default:"2000" help:"Tokens generated a second, shared by the batch."`
	ITLMillis     int     `name:"itl-ms" default:"10" help:"Least milliseconds between tokens of a stream."`
	MaxBatch      int     `default:"64" help:"Streams generated at once."`
	GraceMillis   int     `name:"grace-ms" default:"2000" help:"How long a stream outlives its last reader."`
	LoadLagMillis int     `name:"load-lag-ms" default:"200" help:"Age of the reported load."`
	EventLag      int     `name:"event-lag-ms" default:"200" help:"Lateness of cache events."`
	EventLoss     float64 `default:"0.05" help:"Part of the cache events that is lost."`
	LoadMillis    int     `name:"load-ms" default:"800" help:"Time to load weights, after reading them."`
	Weights       string  `help:"URL of the weight store; empty reads nothing."`
	ChecksFencing bool    `negatable:"" help:"Refuse orders with a stale fencing token."`
	TimeScale     float64 `default:"1" help:"Speed of the engine's clock."`
	CrashOn       string  `help:"Exit when a prompt contains this."`
	BadVersion    string  `help:"Exit at the first request on this version."`
	Seed          uint64  `default:"1" help:"Seed of the lost cache events."`
}

func (c *engineCmd) Run() error {
	e := engine.New(engine.Config{
		Model: c.Model, Version: c.Version, Role: c.Role,
		PieceBytes: c.PieceBytes, CachePieces: c.CachePieces,
		PrefillTPS: c.PrefillTPS, DecodeTPS: c.DecodeTPS, InterToken: millis(c.ITLMillis),
		MaxBatch: c.MaxBatch, Grace: millis(c.GraceMillis), LoadLag: millis(c.LoadLagMillis),
		EventLag: millis(c.EventLag), EventLoss: c.EventLoss,
		LoadTime: millis(c.LoadMillis), WeightsURL: c.Weights,
		ChecksFencing: c.ChecksFencing, TimeScale: c.TimeScale, Seed: c.Seed,
	})
	if c.CrashOn != "" {
		e.Faults().Set(standin.Fault{Kind: engine.FaultCrashOn, Marker: c.CrashOn})
	}
	if c.BadVersion != "" {
		e.Faults().Set(standin.Fault{Kind: engine.FaultBadVersion, Marker: c.BadVersion})
	}
	return standin.Serve("engine", c.Listen, e.Handler())
}

type logCmd struct {
	listen
	RetainRecords    int           `default:"0" help:"Records kept in each stream; 0 keeps all."`
	RetainFor        time.Duration `default:"0" help:"How long a record is kept; 0 for ever."`
	AppendsPerSecond int           `default:"300" help:"Append calls taken a second; 0 takes all."`
	ReadsPerSecond   int           `default:"0" help:"Read calls taken a second; 0 takes all."`
}

func (c *logCmd) Run() error {
	s := logsvc.New(logsvc.Config{
		RetainRecords:    c.RetainRecords,
		RetainFor:        c.RetainFor,
		AppendsPerSecond: c.AppendsPerSecond,
		ReadsPerSecond:   c.ReadsPerSecond,
	})
	return standin.Serve("log", c.Listen, s.Handler())
}

type instancesCmd struct {
	listen
	LagMillis int    `name:"lag-ms" default:"1000" help:"Milliseconds until a change shows."`
	Initial   string `type:"existingfile" help:"JSON file with the first list, as POST /v1/instances takes it."`
}

func (c *instancesCmd) Run() error {
	s := instances.New(millis(c.LagMillis))
	if c.Initial != "" {
		raw, err := os.ReadFile(c.Initial)
		if err != nil {
			return errors.Wrap(err, "read first list")
		}
		var list instances.List
		if err := json.Unmarshal(raw, &list); err != nil {
			return errors.Wrapf(err, "decode first list file=%s", c.Initial)
		}
		s.Set(time.Now(), list.Instances)
	}
	return standin.Serve("instances", c.Listen, s.Handler())
}

type weightsCmd struct {
	listen
	Versions        []string `help:"Versions known; empty knows all."`
	Bytes           int      `default:"8000000" help:"Size of each version."`
	BytesPerSecond  float64  `default:"10000000" help:"Rate of one read."`
	FullRateReaders int      `default:"2" help:"Reads at the full rate; more share it."`
}

func (c *weightsCmd) Run() error {
	s := weights.New(weights.Config{
		Versions:        c.Versions,
		Bytes:           c.Bytes,
		BytesPerSecond:  c.BytesPerSecond,
		FullRateReaders: c.FullRateReaders,
	})
	return standin.Serve("weights", c.Listen, s.Handler())
}

type serviceCmd struct {
	listen
	Name string `default:"service" help:"Name put into each answer."`
}

func (c *serviceCmd) Run() error {
	return standin.Serve("service", c.Listen, service.New(c.Name).Handler())
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func main() {
	ctx := kong.Parse(new(cli), kong.Description("Stand-ins of the services around mastictray."))
	ctx.FatalIfErrorf(ctx.Run())
}
