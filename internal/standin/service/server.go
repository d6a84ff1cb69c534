package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"

	"github.com/mastictray/mastictray/internal/standin"
)

// Kinds of fault.
const (
	FaultSlow         = "slow"
	FaultDropAfterRun = "drop_after_run"
	FaultRefuse       = "refuse"
)

// Run is one request that the service carried out.
type Run struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Path           string `json:"path"`
}

// Runs is the answer to GET /runs.
type Runs struct {
	Runs []Run `json:"runs"`
}

// Response is the body of each answer to a run.
type Response struct {
	Service string `json:"service"`
	// Run is this run's number, counting from 1.
	Run            int    `json:"run"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	// BodySHA256 is the hex hash of the request body.
	BodySHA256 string `json:"body_sha256"`
}

// Server is the plain service.
type Server struct {
	name   string
	faults *standin.Faults
	mu     sync.Mutex
	runs   []Run
}

// New returns a service that puts its name into each answer.
func New(name string) *Server {
	return &Server{name: name, faults: standin.NewFaults(FaultSlow, FaultDropAfterRun, FaultRefuse)}
}

// Handler serves the protocol.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.faults.Handler(nil))
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("/", s.handleAny)
	return mux
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, Runs{Runs: s.list()})
}

func (s *Server) list() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

func (s *Server) handleAny(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodyBytes))
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "malformed")
		return
	}
	if _, ok := s.faults.Consume(FaultRefuse); ok {
		standin.WriteError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if f, ok := s.faults.Consume(FaultSlow); ok {
		// A caller that leaves does not stop the run: the effect of a
		// booking does not depend on who still listens.
		_ = standin.Sleep(context.WithoutCancel(r.Context()), f.Delay())
	}
	ans := s.run(r, body)
	if _, ok := s.faults.Consume(FaultDropAfterRun); ok {
		standin.AbortConnection()
	}
	w.Header().Set("X-Request-Id", ans.RequestID)
	standin.WriteJSON(w, http.StatusOK, ans)
}

func (s *Server) run(r *http.Request, body []byte) Response {
	run := Run{
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Path:           r.URL.Path,
	}
	sum := sha256.Sum256(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return Response{
		Service:        s.name,
		Run:            len(s.runs),
		RequestID:      run.RequestID,
		IdempotencyKey: run.IdempotencyKey,
		BodySHA256:     hex.EncodeToString(sum[:]),
	}
}
