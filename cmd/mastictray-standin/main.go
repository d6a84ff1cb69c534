// Command mastictray-standin runs stand-ins for the services that the system
// uses: model engines, the log service, the instance list, the weight store and
// a plain service. It is only for tests and the demo.
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
	Service   serviceCmd   `cmd:"" help:"Plain service. Faults: slow (ms), drop_after_run (n), refuse (n), cut (n)."`
}

type listen struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`
}

type engineCmd struct {
	listen
	Model         string  `default:"demo" help:"Model served."`
	Version       string  `default:"1" help:"Weights version served at the start."`
	Software      string  `help:"Version of the engine's software; if empty, none is stated."`
	Role          string  `default:"mixed" help:"Role at the start."`
	PieceBytes    int     `default:"16384" help:"Prompt bytes per cached piece."`
	CachePieces   int     `default:"256" help:"Capacity of the cache in pieces."`
	PrefillTPS    float64 `name:"prefill-tps" default:"40000" help:"Prompt tokens computed per second."`
	DecodeTPS     float64 `name:"decode-tps" default:"2000" help:"Tokens generated per second by the whole batch."`
	ITLMillis     int     `name:"itl-ms" default:"10" help:"Minimum milliseconds between tokens of a stream."`
	MaxBatch      int     `default:"64" help:"Maximum number of streams in a batch."`
	GraceMillis   int     `name:"grace-ms" default:"2000" help:"Milliseconds for which a stream outlives its last reader."`
	LoadLagMillis int     `name:"load-lag-ms" default:"200" help:"Age of the reported load in milliseconds."`
	EventLag      int     `name:"event-lag-ms" default:"200" help:"Delay of cache events in milliseconds."`
	EventLoss     float64 `default:"0.05" help:"Fraction of the cache events that is lost."`
	LoadMillis    int     `name:"load-ms" default:"800" help:"Milliseconds to load weights after they were read."`
	Weights       string  `help:"URL of the weight store; if empty, no weights are read."`
	ChecksFencing bool    `negatable:"" help:"Refuse orders with a stale fencing token."`
	TimeScale     float64 `default:"1" help:"Speed of the engine's clock relative to real time."`
	CrashOn       string  `help:"Exit when a prompt contains this text."`
	BadVersion    string  `help:"Exit at the first request on this version."`
	Seed          uint64  `default:"1" help:"Seed of the random loss of cache events."`
}

func (c *engineCmd) Run() error {
	e := engine.New(engine.Config{
		Model: c.Model, Version: c.Version, Software: c.Software, Role: c.Role,
		PieceBytes: c.PieceBytes, CachePieces: c.CachePieces,
		PrefillTPS: c.PrefillTPS, DecodeTPS: c.DecodeTPS, MinTokenInterval: millis(c.ITLMillis),
		MaxBatch: c.MaxBatch, ResumeGrace: millis(c.GraceMillis), LoadReportLag: millis(c.LoadLagMillis),
		EventLag: millis(c.EventLag), EventLossRate: c.EventLoss,
		WeightsLoadTime: millis(c.LoadMillis), WeightsURL: c.Weights,
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
	RetainRecords    int           `default:"0" help:"Records retained per stream; 0 retains all."`
	RetainFor        time.Duration `default:"0" help:"How long a record is retained; 0 is unlimited."`
	AppendsPerSecond int           `default:"300" help:"Append calls accepted per second; 0 is unlimited."`
	ReadsPerSecond   int           `default:"0" help:"Read calls accepted per second; 0 is unlimited."`
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
	LagMillis int    `name:"lag-ms" default:"1000" help:"Milliseconds until a change is visible."`
	Initial   string `type:"existingfile" help:"JSON file with the initial list, in the format of POST /v1/instances."`
}

func (c *instancesCmd) Run() error {
	s := instances.New(millis(c.LagMillis))
	if c.Initial != "" {
		raw, err := os.ReadFile(c.Initial)
		if err != nil {
			return errors.Wrap(err, "read initial list")
		}
		var list instances.List
		if err := json.Unmarshal(raw, &list); err != nil {
			return errors.Wrapf(err, "decode initial list file=%s", c.Initial)
		}
		s.Set(time.Now(), list.Instances)
	}
	return standin.Serve("instances", c.Listen, s.Handler())
}

type weightsCmd struct {
	listen
	Versions        []string `help:"Known versions; if empty, all versions are known."`
	Bytes           int      `default:"8000000" help:"Size of each version."`
	BytesPerSecond  float64  `default:"10000000" help:"Rate of one read in bytes per second."`
	FullRateReaders int      `default:"2" help:"Number of concurrent reads at the full rate; more reads share the total rate of these."`
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
	Name    string `default:"service" help:"Name of the service in each response."`
	Padding int    `default:"0" help:"Bytes that each response has in addition."`
}

func (c *serviceCmd) Run() error {
	s := service.New(c.Name)
	s.Padding = c.Padding
	return standin.Serve("service", c.Listen, s.Handler())
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func main() {
	ctx := kong.Parse(new(cli), kong.Description("Stand-ins for the services that mastictray uses."))
	ctx.FatalIfErrorf(ctx.Run())
}
