package instances

import (
	"net/http"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/standin"
)

// Kinds of fault.
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

// List is the answer to a read and, without AsOfMS, the body that sets it.
type List struct {
	// AsOfMS is when the platform saw it so, in Unix milliseconds.
	AsOfMS    int64      `json:"as_of_ms"`
	Instances []Instance `json:"instances"`
}

// Server is the list service.
type Server struct {
	lag    time.Duration
	faults *standin.Faults
	mu     sync.Mutex
	// lists are in the order they were set; the first is the one shown.
	lists []List
}

// New returns an empty list that shows each change after the lag.
func New(lag time.Duration) *Server {
	return &Server{lag: lag, faults: standin.NewFaults(FaultOutage, FaultSlow)}
}

// Handler serves the protocol.
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

// Set changes the list at a time; readers see it after the lag.
func (s *Server) Set(now time.Time, instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, List{AsOfMS: now.UnixMilli(), Instances: instances})
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if f, ok := s.faults.Consume(FaultSlow); ok && standin.Sleep(r.Context(), f.Delay()) != nil {
		return
	}
	if _, ok := s.faults.Consume(FaultOutage); ok {
		standin.WriteError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.shown(time.Now()))
}

// shown is the newest list at least as old as the lag, or the first ever set.
func (s *Server) shown(now time.Time) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := now.Add(-s.lag).UnixMilli()
	for len(s.lists) > 1 && s.lists[1].AsOfMS <= seen {
		s.lists = s.lists[1:]
	}
	if len(s.lists) == 0 {
		return List{AsOfMS: seen, Instances: []Instance{}}
	}
	list := s.lists[0]
	list.AsOfMS = max(list.AsOfMS, seen)
	return list
}
