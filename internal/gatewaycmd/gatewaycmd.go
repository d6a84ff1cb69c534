// Package gatewaycmd is the command mastictray-gateway without its main function.
package gatewaycmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/mastictray/mastictray/internal/gateway"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/reload"
	"github.com/mastictray/mastictray/internal/settings"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/platform"
)

// settingsVariable is the environment variable with the path of the settings file.
const settingsVariable = "MASTICTRAY_CONFIG"

// Main parses the command line and runs a gateway until it is told to stop. dialTarget establishes
// the connections to targets; nil for the default.
func Main(dialTarget targetconn.DialFunc) {
	var s Settings
	options := []kong.Option{
		kong.Name("mastictray-gateway"),
		kong.Description("Routes client requests by host and path to the targets expected to respond first."),
		kong.Vars{"version": "0.2.0"},
	}
	// Without a settings file, all settings come from flags.
	if file := os.Getenv(settingsVariable); file != "" {
		options = append(options, kong.Configuration(settings.Loader, file))
	}
	kong.Parse(&s, options...)
	if err := run(&s, dialTarget); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s *Settings, dialTarget targetconn.DialFunc) error {
	if err := logline.SetOutput(os.Stdout); err != nil {
		return err
	}
	defer logline.Flush()
	gs := s.gatewaySettings()
	configureMemory(s.MemoryMB, gs.Features.BoundedMemory)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload.LogSignals()
	gs.DialTarget = dialTarget
	gw := gateway.New(gs, platform.Dialect{}, platform.NewStore(s.StoreAddress), platform.NewControl(dialTarget))
	return gw.Run(ctx)
}

const (
	// gcPercent trades CPU time for memory. The live heap is a few megabytes,
	// so collecting twice as often as by default costs little.
	gcPercent = 50
	// memoryFraction is the fraction of the instance's memory that the Go
	// runtime may use. Kernel buffers count toward the instance's memory and
	// take the rest.
	memoryFraction = 0.6
	// boundedMemoryFraction replaces memoryFraction where the work is bounded: all that is
	// accepted may take more, and collecting garbage all the time would only slow it down.
	boundedMemoryFraction = 0.75
)

// configureMemory sets the garbage collection target and, unless megabytes is 0,
// the memory limit of the Go runtime.
func configureMemory(megabytes int, bounded bool) {
	debug.SetGCPercent(gcPercent)
	fraction := memoryFraction
	if bounded {
		fraction = boundedMemoryFraction
	}
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(fraction * float64(megabytes<<20)))
	}
}
