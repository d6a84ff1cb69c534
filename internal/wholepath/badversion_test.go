package wholepath

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/audit"
)

// rolloutHalted reports whether an instance's audit trail contains a halted rollout.
func (f *fleet) rolloutHalted(entry string) bool {
	var trail []audit.Entry
	f.getJSON(entry+".admin", "/admin/v1/audit", &trail)
	for _, e := range trail {
		if e.Outcome == audit.Halted {
			return true
		}
	}
	return false
}

// restartCrashedEngines restarts the engines that have crashed, as the platform does.
func (f *fleet) restartCrashedEngines() {
	for _, name := range f.engines {
		if !f.isListening(name) {
			f.procs[name].kill()
			f.procs[name].start()
			f.waitFor(name+" listens", func() bool { return f.isListening(name) })
		}
	}
}

// Operators publish a version that crashes every engine at its first request, while
// callers keep sending. The rollout halts after two engines have crashed and rolls
// all engines back to the previous version. Callers are answered again without
// manual intervention.
func TestBadVersionIsRolledBackWhileCallersSend(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 4, engineFlags: []string{"--load-ms", "200"}})
	for _, e := range f.engines {
		f.injectFault(e, `{"kind":"bad_version","marker":"2"}`)
	}
	f.replaceAndPublish("version = 1", "version = 2")
	n := 0
	f.waitFor("the rollout is halted", func() bool {
		n++
		f.send("entry0", "office", "/v1/chat/completions", chatBody(fmt.Sprint("check flue ", n), 2))
		f.restartCrashedEngines()
		return f.rolloutHalted("entry1")
	})
	f.waitFor("all engines serve version 1", func() bool {
		f.restartCrashedEngines()
		return f.engineVersions(4)["1"] == 4
	})
	f.waitFor("callers are answered", func() bool {
		return f.send("entry2", "office", "/v1/chat/completions", chatBody("and the next one", 2)).status == http.StatusOK
	})
	is.True(f.rolloutHalted("entry0") && f.rolloutHalted("entry2"))
}
