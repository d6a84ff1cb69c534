// Command mastictray-gateway serves callers by routes on the platform: it
// reads routes, keys and rates from the platform's store and finds its targets
// and peers there.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/mastictray/mastictray/internal/gateway"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/settings"
	"github.com/mastictray/mastictray/platform"
)

// settingsVariable holds the path of the settings file.
const settingsVariable = "MASTICTRAY_CONFIG"

func main() {
	var s Settings
	options := []kong.Option{
		kong.Name("mastictray-gateway"),
		kong.Description("Routes callers' requests by host and path to the targets that serve them soonest."),
		kong.Vars{"version": "0.2.0"},
	}
	// Without a file all settings come from flags.
	if file := os.Getenv(settingsVariable); file != "" {
		options = append(options, kong.Configuration(settings.Loader, file))
	}
	kong.Parse(&s, options...)
	if err := run(&s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s *Settings) error {
	if err := logline.SetOutput(os.Stdout); err != nil {
		return err
	}
	defer klog.Flush()
	limitMemory(s.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logReloads()
	g := gateway.New(s.gateway(), platform.Dialect{}, platform.NewStore(s.StoreAddress), platform.NewControl())
	return g.Run(ctx)
}

// logReloads notes each request to read the settings again. They are bounds of
// the platform and addresses, fixed for the life of a process; what operators
// change comes through the store.
func logReloads() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	go func() {
		for range asked {
			logline.Info("reload_asked", "settings", "read at the start only")
		}
	}()
}

const (
	// gcPercent trades processor time for memory: the live heap is a few
	// megabytes, so collecting twice as often costs little.
	gcPercent = 50
	// memoryShare is the part of the instance's memory that the runtime keeps
	// within; the rest is for the kernel's buffers, which count too.
	memoryShare = 0.6
)

func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20)))
	}
}
