// Command standin plays the cases of the review that can't be written as a day of the bench. It
// starts the gateway as separate processes, with the command of the deploy file, between
// stand-ins of the platform's store, of servers and of clients, all on loopback.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"crashing-request": playCrashingRequest,
	"isolation":        playIsolation,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		return exitNotRun
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w)
	switch {
	case err != nil:
		w.note("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		w.note("RESULT: the rule was broken")
		return exitBroken
	}
	w.note("RESULT: the rule held")
	return exitHeld
}
