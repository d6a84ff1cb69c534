package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/mastictray/mastictray/internal/standin"
)

// Supported kinds of fault.
const (
	FaultSlow         = "slow"
	FaultDropAfterRun = "drop_after_run"
	FaultRefuse       = "refuse"
	FaultShed         = "shed"
	FaultCut          = "cut"
)

// Run is one request that the service executed.
type Run struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Path           string `json:"path"`
}

// Runs is the response to GET /runs.
type Runs struct {
	Runs []Run `json:"runs"`
}

// Response is the body of the response to a run.
type Response struct {
	Service string `json:"service"`
	// Run is the number of this run, counting from 1.
	Run            int    `json:"run"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	// BodySHA256 is the hex-encoded SHA-256 hash of the request body.
	BodySHA256 string `json:"body_sha256"`
	Padding    string `json:"padding,omitempty"`
}

// Server executes requests and records them.
type Server struct {
	// Padding, if set before use, is the number of bytes that each response has in addition.
	Padding int

	name   string
	faults *standin.Faults
	mu     sync.Mutex
	runs   []Run
}

// New returns a service that includes its name in each response.
func New(name string) *Server {
	return &Server{name: name, faults: standin.NewFaults(FaultSlow, FaultDropAfterRun, FaultRefuse, FaultShed, FaultCut, standin.FaultLeaving)}
}

// Faults returns the set of active faults.
func (s *Server) Faults() *standin.Faults { return s.faults }

// Handler returns the HTTP handler of the protocol in docs/PROTOCOLS.md.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.faults.Handler(nil))
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("/", s.handleRequest)
	return standin.AnnounceLeaving(s.faults, mux)
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, Runs{Runs: s.recordedRuns()})
}

func (s *Server) recordedRuns() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodyBytes))
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "malformed")
		return
	}
	if _, ok := s.faults.Consume(FaultRefuse); ok {
		standin.WriteError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if f, ok := s.faults.Consume(FaultShed); ok {
		standin.WriteShed(w, f)
		return
	}
	if f, ok := s.faults.Consume(FaultSlow); ok {
		// The run does not stop when the caller disconnects: a booking takes
		// effect even if nobody receives the response.
		_ = standin.Sleep(context.WithoutCancel(r.Context()), f.Delay())
	}
	resp := s.recordRun(r, body)
	if _, ok := s.faults.Consume(FaultDropAfterRun); ok {
		standin.AbortConnection()
	}
	w.Header().Set("X-Request-Id", resp.RequestID)
	if _, ok := s.faults.Consume(FaultCut); ok {
		_, _ = io.WriteString(w, resp.Padding[:len(resp.Padding)/2])
		_ = http.NewResponseController(w).Flush()
		standin.AbortConnection()
	}
	standin.WriteJSON(w, http.StatusOK, resp)
}

func (s *Server) recordRun(r *http.Request, body []byte) Response {
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
		Padding:        strings.Repeat("x", s.Padding),
	}
}
