package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	key         = "wu3fexd9dnn2ctnfzs98"
	tenantName  = "sese880"
	drainBound  = 2000 * time.Millisecond // drain-ms
	revokeBound = 5000 * time.Millisecond // revoke-ms
	bookBudget  = 600 * time.Millisecond
	// linger is how long a leaving server goes on after drain-ms (linger_ms of the site).
	linger       = 1500 * time.Millisecond
	configBound  = 2000 * time.Millisecond // config-apply-ms
	uploadBudget = 15 * time.Second
	// The memory of a machine of the two sites.
	ocfvMemoryMB     = 284
	tenggiriMemoryMB = 134
	serverWork       = 15 * time.Millisecond
)

// book sends a booking, which may run at most once.
func book(c *client, g *gateway) *request {
	return c.do(g, http.MethodPost, "/pose/rdv", key, fmt.Appendf(nil, "flue %d", c.w.nextID.Load()), bookBudget)
}

// playForeignEntry: another writer leaves an entry with fields missing beside that of a server, which
// then leaves as planned.
func playForeignEntry(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble, ocfvMemoryMB)
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
	w, err := newWorld(folder, trouble, ocfvMemoryMB)
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

// residentBytes returns the memory of a process.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns what has arrived for a process and was not read yet, by the local port.
func unreadBytes(address string) int64 {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", number)
	total := int64(0)
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		const stateField, queueField, established, closeWait = 3, 4, "01", "08"
		if len(fields) <= queueField || !strings.HasSuffix(fields[1], local) || fields[stateField] != established && fields[stateField] != closeWait {
			continue
		}
		_, unread, _ := strings.Cut(fields[queueField], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += n
	}
	return total
}

// enforceMemory kills the process of a machine when it has more than its memory, and starts it again
// a little later, as the platform does, until done is closed. It returns how often.
func (w *world) enforceMemory(g *gateway, limit int64, done <-chan struct{}) (killed int, peak int64) {
	for {
		select {
		case <-done:
			return killed, peak
		case <-time.After(2 * time.Millisecond):
		}
		m := residentBytes(g.pid()) + unreadBytes(g.front)
		peak = max(peak, m)
		if m <= limit || g.hasExited() {
			continue
		}
		killed++
		w.note("%s has %d MB, more than memory-mb: the platform kills it", g.name, m>>20)
		g.signal(syscall.SIGKILL)
		for !g.hasExited() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			w.note("%s does not start: %v", g.name, err)
			return killed, peak
		}
	}
}

const (
	// uploadBytes is max-body-bytes of the config.
	uploadBytes = 4 << 20
	// siteClients is the number of clients in the site file.
	siteClients  = 67
	uploadRounds = 8
	restartDelay = 300 * time.Millisecond
	// fatalEnds is how often the processes of a machine may not end by themselves in a day.
	fatalEnds = 3
)

// playUploads: all clients of the site send bodies of the size that the limits allow, at once.
func playUploads(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble, tenggiriMemoryMB)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	type result struct {
		killed int
		peak   int64
	}
	done := make(chan struct{})
	results := make([]result, len(w.gateways))
	var watchers sync.WaitGroup
	for i, g := range w.gateways {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			results[i].killed, results[i].peak = w.enforceMemory(g, tenggiriMemoryMB<<20, done)
		}()
	}
	body := make([]byte, uploadBytes)
	served, failed := 0, 0
	for round := range uploadRounds {
		var mu sync.Mutex
		var wave sync.WaitGroup
		upload := func(i int) {
			r := w.newClient().do(w.gateways[i%len(w.gateways)], http.MethodPost, "/agenda/plan", key, body, uploadBudget)
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				served++
			} else {
				failed++
			}
			w.note("round %d: %s %d bytes to %s: %s", round, r.id, len(body), r.gateway.name, r.end())
		}
		for i := range siteClients {
			if !trouble {
				upload(i) // one after the other
				continue
			}
			wave.Add(1)
			go func() {
				defer wave.Done()
				upload(i)
			}()
		}
		wave.Wait()
		for _, g := range w.gateways {
			for end := time.Now().Add(5 * time.Second); !g.isReady() && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	close(done)
	watchers.Wait()
	machines := 0
	for i, r := range results {
		w.note("%s: at most %d MB of %d, killed %d times", w.gateways[i].name, r.peak>>20, tenggiriMemoryMB, r.killed)
		fmt.Printf("%s peak=%dMB killed=%d\n", w.gateways[i].name, r.peak>>20, r.killed)
		if r.killed >= fatalEnds {
			machines++
		}
	}
	w.note("%d uploads served, %d not", served, failed)
	fmt.Printf("served=%d failed=%d\n", served, failed)
	if machines >= 2 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

const (
	routeTimeout = 600 * time.Millisecond
	// answerSlack is the half second after the route's timeout by which there must be an answer.
	answerSlack  = 500 * time.Millisecond
	stallTime    = 4 * time.Second
	stalledCount = 20
)

// upload is an attempt whose body stalls midway.
type upload struct {
	id         string
	answeredAt time.Duration // since the head was sent; 0 for never
	status     string
}

// stall sends the head of a booking and a part of its body, and the rest only after stallTime.
func (w *world) stall(g *gateway, stalls bool) (*upload, error) {
	u := &upload{id: fmt.Sprintf("%016x", w.nextID.Add(1))}
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	body := strings.Repeat("x", 600)
	sent := body
	if stalls {
		sent = body[:300]
	}
	began := time.Now()
	fmt.Fprintf(c, "POST /pose/rdv HTTP/1.1\r\nHost: rdv.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		u.id, routeTimeout.Milliseconds(), key, len(body), sent)
	_ = c.SetReadDeadline(began.Add(stallTime))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		u.status = err.Error()
		return u, nil
	}
	u.answeredAt, u.status = time.Since(began), resp.Status
	return u, nil
}

// playStalledUpload: the bodies of some bookings stall midway, as when the client's network is lost.
func playStalledUpload(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble, ocfvMemoryMB)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	stop := w.load(8, 100*time.Millisecond, book)
	time.Sleep(4 * time.Second)
	uploads := make([]*upload, stalledCount)
	errs := make([]error, stalledCount)
	var all sync.WaitGroup
	for i := range uploads {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			uploads[i], errs[i] = w.stall(w.gateways[i%len(w.gateways)], trouble)
		}()
	}
	all.Wait()
	open, unanswered := 0, 0
	for i, u := range uploads {
		if errs[i] != nil {
			return exitNotRun, errs[i]
		}
		w.note("%s: %s after %.3f s", u.id, u.status, u.answeredAt.Seconds())
		if u.answeredAt == 0 || u.answeredAt > routeTimeout {
			open++
			if u.answeredAt == 0 || u.answeredAt > routeTimeout+answerSlack {
				unanswered++
			}
		}
	}
	w.noteAll(stop())
	for _, g := range w.gateways {
		for _, line := range g.logLines("body_too_slow") {
			w.note("log of %s: %s", g.name, line)
		}
	}
	w.note("%d requests have no answer at timeout-ms, %d of them none half a second later", open, unanswered)
	fmt.Printf("open=%d unanswered=%d\n", open, unanswered)
	if 2*unanswered > open {
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
	w, err := newWorld(folder, trouble, ocfvMemoryMB)
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
