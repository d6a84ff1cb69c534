package wholepath

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/audit"
)

// halted says that an instance's trail shows a halted rollout.
func (f *fleet) halted(entry string) bool {
	var trail []audit.Entry
	f.get(entry+".admin", "/admin/v1/audit", &trail)
	for _, e := range trail {
		if e.Outcome == audit.Halted {
			return true
		}
	}
	return false
}

// revive starts the engines that ended, as the platform does.
func (f *fleet) revive() {
	for _, name := range f.engines {
		if !f.listens(name) {
			f.procs[name].kill()
			f.procs[name].begin()
			f.wait(name+" listens", func() bool { return f.listens(name) })
		}
	}
}

// Operators want a version that ends every engine at its first request, while
// callers go on sending. The rollout takes two engines down, halts itself and
// brings the version before back everywhere; callers are answered again with
// no operator's hand.
func TestBadVersionIsRolledBackWhileCallersSend(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 4, engineFlags: []string{"--load-ms", "200"}})
	for _, e := range f.engines {
		f.fault(e, `{"kind":"bad_version","marker":"2"}`)
	}
	f.republish("version = 1", "version = 2")
	n := 0
	f.wait("the rollout is halted", func() bool {
		n++
		f.send("entry0", "office", "/v1/chat/completions", chatBody(fmt.Sprint("check flue ", n), 2))
		f.revive()
		return f.halted("entry1")
	})
	f.wait("all engines serve version 1", func() bool {
		f.revive()
		return f.versions(4)["1"] == 4
	})
	f.wait("callers are answered", func() bool {
		return f.send("entry2", "office", "/v1/chat/completions", chatBody("and the next one", 2)).status == http.StatusOK
	})
	is.True(f.halted("entry0") && f.halted("entry2"))
}
