package wholepath

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// overload sends requests of one account to every instance at far more than the
// account's rate. Admitted requests are counted at the services.
type overload struct {
	f        *fleet
	services int
	start    time.Time
	stop     chan struct{}
	wg       sync.WaitGroup
}

// callersPerEntry is the number of concurrent requests at an instance. Each caller
// uses a single instance, so that a suspended instance blocks only its own callers.
const callersPerEntry = 4

func (f *fleet) startOverload(account string, services int) *overload {
	load := &overload{f: f, services: services, start: time.Now(), stop: make(chan struct{})}
	for _, entry := range f.entries {
		for range callersPerEntry {
			load.wg.Add(1)
			go load.sendUntilStopped(entry, account)
		}
	}
	return load
}

func (o *overload) sendUntilStopped(entry, account string) {
	defer o.wg.Done()
	for {
		select {
		case <-o.stop:
			return
		default:
			o.f.send(entry, account, "/bookings", `{}`)
		}
	}
}

func (o *overload) admittedCount() int {
	n := 0
	for _, runs := range o.f.runCounts(o.services) {
		n += runs
	}
	return n
}

// waitForAdmitted waits until more than n further requests are admitted.
func (o *overload) waitForAdmitted(n int) {
	o.f.t.Helper()
	want := o.admittedCount() + n
	o.f.waitFor("the fleet admits more requests", func() bool { return o.admittedCount() > want })
}

// stopAndCheckRate stops the callers and fails if more requests were admitted since
// the start than rate and burst allow.
func (o *overload) stopAndCheckRate(rate, burst float64) {
	o.f.t.Helper()
	close(o.stop)
	o.wg.Wait()
	allowed := burst + rate*time.Since(o.start).Seconds()
	if n := o.admittedCount(); float64(n) > allowed {
		o.f.t.Errorf("admitted %d, allowed %.0f", n, allowed)
	}
}

// One account overloads all instances while one of them is killed and restarted and
// the log is down for a while. The requests that the fleet admits stay within rate
// and burst, counted at the services from before the first request until after the
// last response.
func TestRateHoldsOverFleetUnderFaults(t *testing.T) {
	const rate, burst = 40, 30
	f := newFleet(t, fleetSpec{entries: 6, engines: 1, services: 2, accounts: map[string][2]int{"office": {rate, burst}}})
	load := f.startOverload("office", 2)
	f.waitFor("tokens are issued", func() bool { return load.admittedCount() > burst })
	f.procs["entry3"].kill()
	f.procs["entry3"].start()
	f.injectFault("log", `{"kind":"outage"}`)
	load.waitForAdmitted(2 * rate)
	f.injectFault("log", `{"kind":"none"}`)
	load.waitForAdmitted(2 * rate)
	load.stopAndCheckRate(rate, burst)
}

// An instance that issues a third of the rate is suspended while the account
// overloads the fleet. Another instance of its domain takes over the rate slot, then
// the first one resumes with its old token balance and pending requests. The two
// together must not exceed the rate.
func TestRateHoldsWhileIssuingInstanceIsSuspended(t *testing.T) {
	const rate, burst = 40, 30
	f := newFleet(t, fleetSpec{entries: 6, engines: 1, services: 2, accounts: map[string][2]int{"office": {rate, burst}}})
	load := f.startOverload("office", 2)
	f.waitFor("tokens are issued", func() bool { return load.admittedCount() > burst })
	// Only members that joined before the holder's last record can take over its
	// lease. Admitting tokens for three renewal periods ensures that the holder has
	// written a record since all members joined.
	load.waitForAdmitted(9 * rate)
	suspended, others := f.findIssuer()
	slot := f.heldRateSlot(suspended)
	f.procs[suspended].signal(syscall.SIGSTOP)
	t.Cleanup(func() { f.procs[suspended].signal(syscall.SIGCONT) })
	f.waitFor("another instance holds the slot", func() bool {
		return f.anyHolds(others, slot)
	})
	resumedAt, admittedBefore := time.Now(), load.admittedCount()
	f.procs[suspended].signal(syscall.SIGCONT)
	load.waitForAdmitted(3 * rate)
	window := time.Since(resumedAt).Seconds()
	// Requests that were in flight to a service at the start of the window are
	// counted in it.
	inFlight := float64(callersPerEntry * len(f.entries))
	if n, allowed := load.admittedCount()-admittedBefore, burst+rate*window+inFlight; float64(n) > allowed {
		t.Errorf("admitted %d after the instance resumed, allowed %.0f", n, allowed)
	}
	load.stopAndCheckRate(rate, burst)
	f.waitForRateShare(0.9)
}

// findIssuer returns the first instance that issues tokens, and all others.
func (f *fleet) findIssuer() (issuer string, others []string) {
	for _, e := range f.entries {
		if s, _ := f.readAdminState(e); issuer == "" && s.RateShare > 0 {
			issuer = e
			continue
		}
		others = append(others, e)
	}
	return issuer, others
}

// heldRateSlot returns the lease of the rate slot that an instance holds.
func (f *fleet) heldRateSlot(entry string) string {
	for _, lease := range strings.Fields(f.heldLeases(entry)) {
		if strings.HasPrefix(lease, `"mint/`) {
			return lease
		}
	}
	f.t.Fatalf("%s holds no rate slot", entry)
	return ""
}

// anyHolds reports whether any of the instances holds the lease.
func (f *fleet) anyHolds(entries []string, lease string) bool {
	for _, e := range entries {
		if slices.Contains(strings.Fields(f.heldLeases(e)), lease) {
			return true
		}
	}
	return false
}

// exceedsWholeRate reports whether the instances together issue more than the whole
// rate. A slot that changes its holder while the instances are queried may be counted
// twice, so several consecutive queries must agree: a slot that two instances hold is
// counted twice each time.
func (f *fleet) exceedsWholeRate() bool {
	const attempts = 4
	for range attempts {
		if f.totalRateShare(f.entries) < 1.01 {
			return false
		}
	}
	return true
}

// waitForRateShare waits until the fleet issues more than the given fraction of its
// rate, and fails if it ever issues more than the whole rate.
func (f *fleet) waitForRateShare(minShare float64) {
	f.t.Helper()
	f.waitFor("the fleet issues its rate", func() bool {
		if f.exceedsWholeRate() {
			f.t.Fatal("the instances issue more than the whole rate together")
		}
		return f.totalRateShare(f.entries) > minShare
	})
}

// An instance that issues a third of the rate gets SIGTERM. It releases its rate slot
// when it exits, and another instance of its domain acquires it. Two instances never
// issue the slot's share at the same time, and the fleet issues the whole rate again.
func TestDrainedInstanceHandsOverRateSlot(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 6, engines: 2})
	drained, others := f.findIssuer()
	f.procs[drained].signal(syscall.SIGTERM)
	f.entries = others
	f.waitForRateShare(0.99)
	f.must(f.procs[drained].cmd.Wait())
	f.checkStreams(10, 5, func() {})
}
