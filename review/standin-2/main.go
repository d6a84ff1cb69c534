// Command standin-2 plays one case of this review: stand-ins of the platform's store, of servers and
// of clients, and processes of the project as the deploy file starts them. It exits with 1 if the
// rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is what a case plays in.
type world struct {
	store    *store
	gateways []*gateway
	servers  []*server
	trouble  bool
	start    time.Time

	mu     sync.Mutex
	record *os.File
	nextID atomic.Int64
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) since(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// config returns the operators' configuration of a small deployment.
func config(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "pose", "host": "rdv.example", "path-prefix": "/pose/", "kind": "unsafe", "timeout-ms": 600,
				"target-latency-ms": 100, "priority": 2, "service": "portail", "max-attempts": 1, "allow-anonymous": false,
			},
			map[string]any{
				"name": "agenda", "host": "rdv.example", "path-prefix": "/agenda/", "kind": "safe", "timeout-ms": 600,
				"target-latency-ms": 100, "priority": 2, "service": "portail", "max-attempts": 2, "allow-anonymous": false,
			},
		},
		"services": []any{map[string]any{"name": "portail", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  tenants,
	}
}

func tenant(name string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{
		"name": name, "api-keys": keys, "priority": 1, "unit": "token_accounting", "uncached-tokens": 200, "isolated": false,
		"rate-per-s": 217541, "burst": 217541,
	}
}

// request is one client attempt and how it ended.
type request struct {
	id, method, path, key string
	body                  []byte
	gateway               *gateway
	sentAt                time.Time
	status                int
	answer                string
	err                   error
}

// client keeps its channel open between its requests.
type client struct {
	w    *world
	http *http.Client
}

func (w *world) newClient() *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{w: w, http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// do sends one attempt and returns it with its end.
func (c *client) do(g *gateway, method, path, key string, body []byte, budget time.Duration) *request {
	r := &request{id: fmt.Sprintf("%08x%08x", rand.Uint32(), c.w.nextID.Add(1)), method: method, path: path, key: key, body: body, gateway: g}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil
	req.Host = "rdv.example"
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	r.sentAt = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	r.status, r.answer, r.err = resp.StatusCode, string(raw), err
	return r
}

func (r *request) end() string {
	if r.err != nil {
		return "error: " + r.err.Error()
	}
	return fmt.Sprintf("%d %q", r.status, r.answer)
}

// newWorld starts the store, the servers and two processes of the project, and waits until these are
// ready.
func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, record: record, start: time.Now()}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	w.store.put("keyed.op", "config", config(1, []any{tenant(tenantName, key)}))
	for i, zone := range []string{"vaud-nord", "vaud-centre", "vaud-sud"} {
		s, err := newServer(w.store, fmt.Sprintf("i-%d", i+1), "portail", zone, serverWork)
		if err != nil {
			return nil, err
		}
		w.servers = append(w.servers, s)
	}
	for i, zone := range []string{"vaud-nord", "vaud-centre"} {
		g, err := newGateway(dir, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, w.store.address)
		if err != nil {
			return nil, err
		}
		w.gateways = append(w.gateways, g)
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return w, err
		}
	}
	w.note("ready: %d processes of the project, %d servers; trouble=%t", len(w.gateways), len(w.servers), trouble)
	return w, nil
}

// close ends all processes and removes the temporary files.
func (w *world) close() {
	for _, g := range w.gateways {
		g.stop()
	}
	if len(w.gateways) > 0 {
		_ = os.RemoveAll(w.gateways[0].dir)
	}
	w.record.Close()
}

// load sends requests by several clients until the returned function is called, which returns them.
func (w *world) load(clients int, pause time.Duration, one func(c *client, g *gateway) *request) (stop func() []*request) {
	done := make(chan struct{})
	var mu sync.Mutex
	var all []*request
	var running sync.WaitGroup
	for i := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			c := w.newClient()
			for {
				select {
				case <-done:
					return
				case <-time.After(pause/2 + time.Duration(rand.Int64N(int64(pause)))):
				}
				r := one(c, w.gateways[i%len(w.gateways)])
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
			}
		}()
	}
	return func() []*request {
		close(done)
		running.Wait()
		return all
	}
}

// noteAll writes what was sent, answered and run.
func (w *world) noteAll(requests []*request) {
	byID := map[string]arrival{}
	for _, a := range w.arrivals() {
		byID[a.id] = a
	}
	for _, r := range requests {
		ran := "reaches no server"
		if a, ok := byID[r.id]; ok {
			ran = fmt.Sprintf("at %s at %.3f, ran=%t", a.server, w.since(a.at), a.ran)
		}
		w.note("%s %s %s sent at %.3f to %s; %s; the client gets %s", r.id, r.method, r.path, w.since(r.sentAt), r.gateway.name, ran, r.end())
	}
}

// arrivals returns what reached the servers.
func (w *world) arrivals() []arrival {
	var out []arrival
	for _, s := range w.servers {
		out = append(out, s.received()...)
	}
	return out
}

var cases = map[string]func(folder string, trouble bool) (int, error){
	"foreign-entry":   playForeignEntry,
	"tenants-emptied": playTenantsEmptied,
	"lost-reads":      playLostReads,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder for record.txt")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	code, err := play(*folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", strings.TrimSpace(err.Error()))
		code = exitNotRun
	}
	os.Exit(code)
}
