package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	key         = "wu3fexd9dnn2ctnfzs98"
	tenantName  = "sese880"
	drainBound  = 2000 * time.Millisecond // drain-ms
	revokeBound = 5000 * time.Millisecond // revoke-ms
	bookBudget  = 600 * time.Millisecond
	// linger is how long a leaving server goes on after drain-ms (linger_ms of the site).
	linger      = 1500 * time.Millisecond
	configBound = 2000 * time.Millisecond // config-apply-ms
	serverWork  = 15 * time.Millisecond
)

// book sends a booking, which may run at most once.
func book(c *client, g *gateway) *request {
	return c.do(g, http.MethodPost, "/pose/rdv", key, fmt.Appendf(nil, "flue %d", c.w.nextID.Load()), bookBudget)
}

// playForeignEntry: another writer leaves an entry with fields missing beside that of a server, which
// then leaves as planned.
func playForeignEntry(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	stop := w.load(8, 100*time.Millisecond, book)
	time.Sleep(4 * time.Second)
	s := w.servers[0]
	if trouble {
		w.store.put("keyed.servers", s.id, map[string]any{
			"service": s.service, "addr": s.address, "zone": s.zone, "slots": serverSlots, "state": "ready",
			"seq": time.Now().Unix(), "born": s.born,
		})
		w.note("another writer writes an entry under %s without version and cold-left-ms", s.id)
	}
	time.Sleep(4 * time.Second)
	drainedAt := s.drain()
	w.note("%s reports draining, acknowledged", s.id)
	time.Sleep(drainBound + linger)
	s.leave()
	w.note("%s ends, its entry is removed", s.id)
	time.Sleep(3 * time.Second)
	requests := stop()
	w.noteAll(requests)
	byID := map[string]*request{}
	for _, r := range requests {
		byID[r.id] = r
	}
	late, inTime := 0, 0
	for _, a := range s.received() {
		if a.at.Before(drainedAt) {
			continue
		}
		if a.at.Sub(drainedAt) <= drainBound {
			inTime++
			continue
		}
		late++
		if r := byID[a.id]; r != nil {
			w.note("late: %s reaches %s %.3f s after the acknowledgement, ran=%t, the client gets %s", a.id, s.id, a.at.Sub(drainedAt).Seconds(), a.ran, r.end())
		}
	}
	failed := 0
	for _, r := range requests {
		if r.sentAt.After(drainedAt) && r.status != http.StatusOK {
			failed++
			w.note("not served: %s sent at %.3f to %s: %s", r.id, w.since(r.sentAt), r.gateway.name, r.end())
		}
	}
	w.note("%d bookings; %d reach %s within drain-ms of its draining, %d later; %d not served since", len(requests), inTime, s.id, late, failed)
	fmt.Printf("bookings=%d late=%d not_served=%d\n", len(requests), late, failed)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// playTenantsEmptied: a config takes away the last key, with its tenant.
func playTenantsEmptied(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	stop := w.load(8, 100*time.Millisecond, book)
	time.Sleep(4 * time.Second)
	next := []any{tenant(tenantName)}
	if trouble {
		next = []any{}
	}
	w.store.put("keyed.op", "config", config(2, next))
	revokedAt := time.Now()
	w.note("config 2 without the key is acknowledged; %d tenants", len(next))
	time.Sleep(revokeBound + 3*time.Second)
	requests := stop()
	w.noteAll(requests)
	ran := map[string]arrival{}
	for _, a := range w.arrivals() {
		if a.ran {
			ran[a.id] = a
		}
	}
	late, after := 0, 0
	for _, r := range requests {
		if r.sentAt.Sub(revokedAt) <= revokeBound {
			continue
		}
		after++
		if a, ok := ran[r.id]; ok {
			late++
			w.note("ran: %s sent %.3f s after the acknowledgement, at %s, X-Tenant %q, the client gets %s", r.id, r.sentAt.Sub(revokedAt).Seconds(), a.server, a.header.Get("X-Tenant"), r.end())
		}
	}
	w.note("%d requests with the key sent later than revoke-ms, %d of them ran", after, late)
	fmt.Printf("after=%d ran=%d\n", after, late)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

const (
	boardPath = "/tableau/jour"
	// loseTime is how long one of the three servers loses one answer in loseOneIn (for_s 4, x 0.05
	// in the site file).
	loseTime  = 4 * time.Second
	loseOneIn = 20
	// stableTime is stable-ms, watchTime how long the steady state is looked at after that.
	stableTime = 3 * time.Second
	watchTime  = 30 * time.Second
	// minAsked is the number of requests on added routes from which the rule applies.
	minAsked = 20
)

// readBoard reads the board of the day, which is the same for all.
func readBoard(c *client, g *gateway) *request {
	return c.do(g, http.MethodGet, boardPath, key, nil, bookBudget)
}

// playLostReads: all clients read one page of a route that was added, and one server loses some of
// its answers for a while.
func playLostReads(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	next := config(2, []any{tenant(tenantName, key)})
	next["routes"] = append(next["routes"].([]any), map[string]any{
		"name": "tableau", "host": "rdv.example", "path-prefix": "/tableau/", "kind": "safe", "timeout-ms": 600,
		"target-latency-ms": 100, "priority": 2, "service": "portail", "max-attempts": 2, "allow-anonymous": false,
	})
	w.store.put("keyed.op", "config", next)
	w.note("config 2 adds the route tableau, acknowledged")
	time.Sleep(configBound + stableTime)
	stopBookings := w.load(6, 100*time.Millisecond, book)
	stopReads := w.load(24, 300*time.Millisecond, readBoard)
	time.Sleep(4 * time.Second)
	if trouble {
		s := w.servers[0]
		s.loseAnswers(loseOneIn)
		w.note("%s loses one answer in %d", s.id, loseOneIn)
		time.Sleep(loseTime)
		s.loseAnswers(0)
		w.note("%s loses no more answers", s.id)
	}
	time.Sleep(stableTime)
	steadyAt := time.Now()
	w.note("steady state begins")
	time.Sleep(watchTime)
	reads, bookings := stopReads(), stopBookings()
	w.noteAll(append(append([]*request{}, bookings...), reads...))
	share := func(name string, requests []*request) (asked int, served float64) {
		ends := map[string]int{}
		for _, r := range requests {
			if r.sentAt.Before(steadyAt) {
				continue
			}
			asked++
			if r.status == http.StatusOK && r.err == nil {
				served++
			}
			ends[strconv.Itoa(r.status)]++
		}
		w.note("steady state, %s: %d asked, %.0f served, by status %v", name, asked, served, ends)
		fmt.Printf("%s asked=%d served=%.0f %v\n", name, asked, served, ends)
		return asked, served / float64(max(1, asked))
	}
	asked, added := share("added route", reads)
	_, first := share("first route", bookings)
	for _, g := range w.gateways {
		for _, line := range g.logLines("crash_counted") {
			w.note("log of %s: %s", g.name, line)
		}
	}
	if asked >= minAsked && added < first/4 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
