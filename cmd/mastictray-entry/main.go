// Command mastictray-entry runs an entry instance.
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

	"github.com/mastictray/mastictray/internal/entry"
	"github.com/mastictray/mastictray/internal/reload"
	"github.com/mastictray/mastictray/internal/settings"
)

func main() {
	var s settings.Settings
	parsed := kong.Parse(
		&s,
		kong.Name("mastictray-entry"),
		kong.Description("Routes callers' requests to the targets whose prefix cache serves them soonest."),
		kong.Configuration(settings.Loader),
		kong.Vars{"version": "0.1.0"},
	)
	if s.PrintSettings {
		settings.Print(os.Stdout, parsed)
		return
	}
	if err := run(&s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// memoryFraction is the fraction of the process's memory that the Go runtime may use. Its code and
// buffers of the kernel take the rest.
const memoryFraction = 0.7

func run(s *settings.Settings) error {
	defer klog.Flush()
	e, err := entry.New(s)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(s.MemoryMB<<20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload.LogSignals()
	return e.Run(ctx)
}
