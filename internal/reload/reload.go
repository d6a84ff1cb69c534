// Package reload handles the signal that asks a process to read its settings again.
package reload

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/mastictray/mastictray/internal/logline"
)

// LogSignals logs each SIGHUP and otherwise ignores it; without a handler it would end the
// process. Settings are addresses and limits, fixed for the lifetime of the process. What
// operators change at run time comes from the log or the store.
func LogSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			logline.Info("reload_ignored", "settings", "read at startup only")
		}
	}()
}
