package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	header http.Header
	path   string
	ran    bool
}

// server is a stand-in of a sound server of a plain service. It runs what names it and has an id.
type server struct {
	id, service, address, zone string
	born                       int64
	work                       time.Duration
	slots                      chan struct{}
	http                       *http.Server
	store                      *store

	mu       sync.Mutex
	seq      int64
	state    string
	arrivals []arrival
	stopped  bool
	// loseOneIn is how many answers there are for each that is lost; ranSince counts them.
	loseOneIn, ranSince int
}

const (
	serverSlots = 6
	// beatInterval is heartbeat-ms of the site.
	beatInterval = 1200 * time.Millisecond
	softwareName = "v1"
)

func newServer(s *store, id, service, zone string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	srv := &server{
		id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), work: work,
		slots: make(chan struct{}, serverSlots), store: s, state: "ready",
	}
	srv.http = &http.Server{Handler: srv}
	go func() { _ = srv.http.Serve(l) }()
	srv.beat()
	go func() {
		for range time.Tick(beatInterval) {
			if !srv.beat() {
				return
			}
		}
	}()
	return srv, nil
}

// beat writes the server's entry, and returns false once the server has left.
func (s *server) beat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.seq++
	s.store.put("keyed.servers", s.id, s.entry())
	return true
}

func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": softwareName, "slots": serverSlots, "state": s.state,
		"cold-left-ms": 0, "seq": s.seq, "born": s.born,
	}
}

// drain reports draining and returns when the store has accepted that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	return time.Now()
}

// loseAnswers makes the server lose one answer in so many, by a reset of the channel; 0 for none.
func (s *server) loseAnswers(oneIn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseOneIn, s.ranSince = oneIn, 0
}

// losesAnswer reports whether the answer to a request that ran is lost.
func (s *server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranSince++
	return s.loseOneIn > 0 && s.ranSince%s.loseOneIn == 0
}

// resetChannel ends the channel of a request with a reset.
func resetChannel(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// leave ends the server: its channels end and its entry is removed.
func (s *server) leave() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.http.Close()
	s.store.put("keyed.servers", s.id, nil)
}

func (s *server) record(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

func (s *server) received() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	a := arrival{at: time.Now(), server: s.id, id: id, header: r.Header.Clone(), path: r.URL.Path}
	_, _ = io.Copy(io.Discard, r.Body)
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	s.mu.Lock()
	leaving := s.state == "draining"
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.record(a)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		s.record(a)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.record(a)
		return
	}
	a.ran = true
	s.record(a)
	time.Sleep(s.work)
	<-s.slots
	if s.losesAnswer() {
		resetChannel(w)
		return
	}
	if leaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Server-Seal", "seal."+s.id+"."+id)
	fmt.Fprintf(w, "%s done by %s", id, s.id)
}
