package wholepath

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/crashpieces"
)

const poisonMarker = "POISON"

// crashedEngines returns the number of engines that don't listen.
func (f *fleet) crashedEngines() int {
	n := 0
	for _, e := range f.engines {
		if !f.isListening(e) {
			n++
		}
	}
	return n
}

func (f *fleet) sendPoison(entry string) response {
	return f.send(entry, "office", "/v1/chat/completions", chatBody("a dossier with "+poisonMarker, 5))
}

// A request crashes every engine that runs it, and its caller keeps retrying it at
// different instances. It crashes at most two engines before all instances refuse it,
// and other requests are answered.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 4, engineFlags: []string{"--crash-on", poisonMarker}})
	for n := range 12 {
		a := f.sendPoison(f.entries[n%len(f.entries)])
		is.True(a.status != 200)
	}
	for _, e := range f.entries {
		f.waitFor(e+" quarantines the request", func() bool { return f.sendPoison(e).code == "request_quarantined" })
	}
	is.True(f.crashedEngines() <= 2) // the request crashed more than two engines
	f.checkStreams(12, 5, func() {})
}

// Six copies of the request are sent concurrently to all instances. The number of
// copies that are dispatched before the first crash isn't limited. Afterwards all
// instances refuse the request, and no further engine crashes.
func TestConcurrentPoisonRequestsAreQuarantined(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 3, engines: 6, engineFlags: []string{"--crash-on", poisonMarker}})
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.sendPoison(f.entries[n%len(f.entries)])
		}()
	}
	wg.Wait()
	for _, e := range f.entries {
		f.waitFor(e+" quarantines the request", func() bool { return f.sendPoison(e).code == "request_quarantined" })
	}
	before := f.crashedEngines()
	for n := range 6 {
		f.sendPoison(f.entries[n%len(f.entries)])
	}
	is.New(t).Equal(f.crashedEngines(), before)
}

// Other streams run on the engines that the request crashes. Their answers are
// complete, although each crash makes these requests suspects as well.
func TestPoisonRequestBreaksNoOtherStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 4, engineFlags: []string{"--crash-on", poisonMarker, "--itl-ms", "20"}})
	f.checkStreams(8, 60, func() {
		f.waitFor("streams run", func() bool {
			n := 0
			for _, e := range f.engines {
				n += f.runningStreams(e)
			}
			return n >= 8
		})
		for n := range 6 {
			f.sendPoison(f.entries[n%len(f.entries)])
		}
	})
	f.waitFor("the request is quarantined", func() bool { return f.sendPoison("entry0").code == "request_quarantined" })
	is.True(f.crashedEngines() <= 2)
}

// An engine has been replaced, but the instances don't know yet. The new engine gives
// an invalid response to a request, which is then answered by another engine. The
// request must not become a suspect for the end of the previous engine: after two
// such suspicions an innocent request would be refused for an hour, whenever engines
// are restarted.
func TestRequestIsNotSuspectedForEarlierCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 2})
	engine := f.replaceWithRecorder("engine0")
	f.waitFor("a prompt reaches the new engine", func() bool {
		a := f.send("entry0", "office", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`)
		is.Equal(a.status, 200)
		return len(engine.requestsTo("/v1/chat/completions")) > 0
	})
	s, ok := f.readAdminState("entry0")
	is.True(ok)
	is.Equal(s.Poison.Crashes, int64(0)) // the request counts as a suspect
}

// Guards against prompts that share their first piece, under which engines crash, and are not alike
// otherwise: each would crash two engines.
func TestPromptsThatShareACrashingPieceAreRefused(t *testing.T) {
	const (
		prompts = 7
		// Each prompt crashes two engines at once, until as many prompts as crashes are needed
		// to find the piece have done so.
		maxCrashed = 2 * crashpieces.MinCrashes
	)
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 2 * prompts, engineFlags: []string{"--crash-on", poisonMarker}})
	piece := poisonMarker + strings.Repeat(" dossier", config.DefaultPieceBytes/len(" dossier"))
	send := func(entry string, n int) response {
		return f.send(entry, "office", "/v1/chat/completions", chatBody(fmt.Sprintf("%s and question %d", piece, n), 5))
	}
	for n := range prompts {
		is.True(send(f.entries[n%len(f.entries)], n).status != 200)
		time.Sleep(crashpieces.HealthyAfter) // the crashes of one prompt count as one
	}
	is.True(f.crashedEngines() <= maxCrashed)
	for i, e := range f.entries {
		f.waitFor(e+" refuses the piece", func() bool { return send(e, 100+i).code == "request_quarantined" })
	}
	f.checkStreams(12, 5, func() {})
}
