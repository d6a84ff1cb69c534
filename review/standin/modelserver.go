package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mastictray/mastictray/platform/platformtest"
)

const (
	modelName      = "m"
	weightsVersion = 1
	streamEvents   = 3
	// firstEventAfter is the time from a request to its first event, eventPause that between two.
	firstEventAfter = 20 * time.Millisecond
	eventPause      = 5 * time.Millisecond
)

// cachedPart is a part of a prompt that a model server keeps.
type cachedPart struct {
	maker, attempt string
}

// reuse is a part of the memory of another request that a request has used.
type reuse struct {
	attempt, tenant, part string
	madeBy                cachedPart
	at                    time.Time
}

// modelServer is a model server. It keeps the parts of the prompts that it has read, each under
// its scope, its model and all parts before it, and uses them for later prompts.
type modelServer struct {
	w       *world
	id      string
	zone    string
	address string
	onReuse func(reuse)

	mu    sync.Mutex
	cache map[string]cachedPart
}

func newModelServer(w *world, id, zone string, onReuse func(reuse)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &modelServer{w: w, id: id, zone: zone, address: l.Addr().String(), onReuse: onReuse, cache: map[string]cachedPart{}}
	go func() { _ = http.Serve(l, s) }()
	go s.register()
	return nil
}

func (s *modelServer) register() {
	born := time.Now().UnixMilli()
	for seq := int64(1); ; seq++ {
		entry := platformtest.Registration("engines", s.address, "ready", born, seq, weightsVersion)
		entry["zone"], entry["slots"] = s.zone, 64
		s.w.store.Put("keyed.servers", s.id, entry)
		time.Sleep(heartbeat)
	}
}

func (s *modelServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/report" {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": modelName, "version": weightsVersion, "adapters": []any{}}},
			"busy": false, "seq": 0, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 305010, "handles": 0,
		})
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", attempt)
	version := r.Header.Get("X-Expect-Version")
	if r.Header.Get("X-Expect-Instance") != s.id || version != "" && version != strconv.Itoa(weightsVersion) {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.readPrompt(r)
	rw.Header().Set("X-Server-Seal", "seal-"+s.id)
	rw.Header().Set("X-Weight-Versions", strconv.Itoa(weightsVersion))
	rw.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	wait(r.Context(), firstEventAfter)
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s piece %d\n\n", n, attempt, n)
		_ = http.NewResponseController(rw).Flush()
		wait(r.Context(), eventPause)
	}
}

// readPrompt uses the leading parts of a prompt that are cached, and caches the others.
func (s *modelServer) readPrompt(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant, attempt := r.Header.Get("X-Tenant"), r.Header.Get("X-Attempt-Id")
	key := r.Header.Get("X-Cache-Salt") + "\n" + r.Header.Get("X-Model")
	leading := true
	for _, part := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		key += "\n" + part
		made, cached := s.cache[key]
		if leading = leading && cached; leading {
			s.onReuse(reuse{attempt: attempt, tenant: tenant, part: part, madeBy: made, at: time.Now()})
			continue
		}
		s.cache[key] = cachedPart{maker: tenant, attempt: attempt}
	}
}

// enginesConfig is the entry of the model servers in a configuration.
func enginesConfig() map[string]any {
	return map[string]any{"name": "engines", "health-path": "/health", "max-conns": 360, "engine": map[string]any{
		"slots": 64, "kv-capacity": 305010, "token-kv-bytes": 18432, "link-mbps": 550000.0, "max-inflight": 12,
		"models": []any{map[string]any{"name": modelName}},
	}}
}

// promptsRoute is the route of prompts in a configuration.
func promptsRoute() map[string]any {
	return map[string]any{
		"name": "prompts", "host": host, "path-prefix": "/gen/", "kind": "streaming", "timeout-ms": 3000,
		"target-latency-ms": 500, "target-gap-ms": 500, "priority": 0, "service": "engines", "max-attempts": 2, "resumable": true, "sticky": true,
	}
}

// prompt returns a request with shared parts and a part of its own.
func prompt(w *world, kind, key string, shared ...string) request {
	q := request{id: w.newID(kind), path: "/gen/answer", key: key, body: "prompt", timeout: 3 * time.Second}
	parts := append(append([]string(nil), shared...), fmt.Sprintf("%x:300", q.id))
	q.header = map[string]string{"X-Model": modelName, "X-Token-Usage": "1400,20", "X-Prompt-Prefix": strings.Join(parts, ",")}
	return q
}
