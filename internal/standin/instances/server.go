package instances

import (
	"net/http"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/standin"
)

// Supported kinds of fault.
const (
	FaultOutage = "outage"
	FaultSlow   = "slow"
)

// Instance is one entry of the list.
type Instance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Role is "entry" or "target".
	Role string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// List is the response to a read and, without AsOfMS, the body of the request that
// sets the list.
type List struct {
	// AsOfMS is the time at which the list was accurate, in Unix milliseconds.
	AsOfMS    int64      `json:"as_of_ms"`
	Instances []Instance `json:"instances"`
}

// Server serves the list of instances.
type Server struct {
	lag    time.Duration
	faults *standin.Faults
	mu     sync.Mutex
	// history has the lists in the order in which they were set. The first is the
	// one that readers see; the others are not yet older than the lag.
	history []List
}

// New returns a service with an empty list, whose changes are visible after the lag.
func New(lag time.Duration) *Server {
	return &Server{lag: lag, faults: standin.NewFaults(FaultOutage, FaultSlow)}
}

// Handler returns the HTTP handler of the protocol in docs/PROTOCOLS.md.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.faults.Handler(nil))
	mux.HandleFunc("POST /v1/instances", s.handleSet)
	mux.HandleFunc("GET /v1/instances", s.handleGet)
	return mux
}

func (s *Server) handleSet(w http.ResponseWriter, r *http.Request) {
	var list List
	if !standin.ReadJSON(w, r, &list) {
		return
	}
	s.Set(time.Now(), list.Instances)
	w.WriteHeader(http.StatusNoContent)
}

// Set replaces the list at the time now. Readers see it after the lag.
func (s *Server) Set(now time.Time, instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, List{AsOfMS: now.UnixMilli(), Instances: instances})
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if f, ok := s.faults.Consume(FaultSlow); ok && standin.Sleep(r.Context(), f.Delay()) != nil {
		return
	}
	if _, ok := s.faults.Consume(FaultOutage); ok {
		standin.WriteError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.visibleList(time.Now()))
}

// visibleList returns the newest list that is at least as old as the lag, or the
// first list if none is. It drops the lists before the returned one.
func (s *Server) visibleList(now time.Time) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := now.Add(-s.lag).UnixMilli()
	for len(s.history) > 1 && s.history[1].AsOfMS <= cutoff {
		s.history = s.history[1:]
	}
	if len(s.history) == 0 {
		return List{AsOfMS: cutoff, Instances: []Instance{}}
	}
	list := s.history[0]
	list.AsOfMS = max(list.AsOfMS, cutoff)
	return list
}
