package wholepath

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

const poisonMarker = "POISON"

// dead counts the engines that are gone.
func (f *fleet) dead() int {
	n := 0
	for _, e := range f.engines {
		if !f.listens(e) {
			n++
		}
	}
	return n
}

func (f *fleet) poison(entry string) answer {
	return f.send(entry, "office", "/v1/chat/completions", chatBody("a dossier with "+poisonMarker, 5))
}

// A request crashes each engine that runs it, and its caller sends it again and
// again, to one instance after the other. It takes two engines at most; then
// every instance refuses it, and the others' requests are answered.
func TestPoisonRequestKillsTwoEnginesAtMost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 4, engineFlags: []string{"--crash-on", poisonMarker}})
	for n := range 12 {
		a := f.poison(f.entries[n%len(f.entries)])
		is.True(a.status != 200)
	}
	for _, e := range f.entries {
		f.wait(e+" refuses the request for good", func() bool { return f.poison(e).code == "request_quarantined" })
	}
	is.True(f.dead() <= 2) // the request took more than two engines
	f.stream(12, 5, func() {})
}

// Six copies of the request are on their way at once, at all instances. Which
// of them has dispatched when the first crash comes is not bounded; afterwards
// no further engine falls, and all instances refuse the request.
func TestPoisonCopiesAtOnceEndInQuarantine(t *testing.T) {
	f := newFleet(t, shape{entries: 3, engines: 6, engineFlags: []string{"--crash-on", poisonMarker}})
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.poison(f.entries[n%len(f.entries)])
		}()
	}
	wg.Wait()
	for _, e := range f.entries {
		f.wait(e+" refuses the request for good", func() bool { return f.poison(e).code == "request_quarantined" })
	}
	dead := f.dead()
	for n := range 6 {
		f.poison(f.entries[n%len(f.entries)])
	}
	is.New(t).Equal(f.dead(), dead)
}

// The same while others stream from the engines that crash. Their answers come
// whole, although they share each crash with the request and are suspects too.
func TestPoisonRequestCutsNoOtherStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 4, engineFlags: []string{"--crash-on", poisonMarker, "--itl-ms", "20"}})
	f.stream(8, 60, func() {
		f.wait("streams run", func() bool {
			n := 0
			for _, e := range f.engines {
				n += f.running(e)
			}
			return n >= 8
		})
		for n := range 6 {
			f.poison(f.entries[n%len(f.entries)])
		}
	})
	f.wait("the request is refused for good", func() bool { return f.poison("entry0").code == "request_quarantined" })
	is.True(f.dead() <= 2)
}

// An engine has been replaced and its instances do not know yet. The new one
// answers a request wrongly, and the request is answered elsewhere. It is not
// blamed for the end of the engine before: blamed twice, an innocent request
// would be refused for an hour whenever engines are restarted.
func TestRequestIsNotBlamedForCrashBeforeIt(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 2})
	engine := f.replace("engine0")
	f.wait("a prompt reaches the new engine", func() bool {
		a := f.send("entry0", "office", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`)
		is.Equal(a.status, 200)
		return len(engine.got("/v1/chat/completions")) > 0
	})
	s, ok := f.state("entry0")
	is.True(ok)
	is.Equal(s.Poison.Crashes, int64(0)) // the request counts as a suspect
}
