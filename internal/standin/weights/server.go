package weights

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mastictray/mastictray/internal/standin"
)

// Kinds of fault.
const (
	FaultOutage = "outage"
	FaultSlow   = "slow"
)

// tick is how often a read hands out bytes.
const tick = 20 * time.Millisecond

// Config sizes the store.
type Config struct {
	// Versions are the versions known of each model; empty knows all.
	Versions []string
	// Bytes is the size of each version.
	Bytes int
	// BytesPerSecond is the rate of one read.
	BytesPerSecond float64
	// FullRateReaders is how many reads run at that rate; with more, each
	// gets its part of what these would get together.
	FullRateReaders int
}

// Server is the weight store.
type Server struct {
	cfg     Config
	faults  *standin.Faults
	reading atomic.Int64
}

// New returns a store.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, faults: standin.NewFaults(FaultOutage, FaultSlow)}
}

// Handler serves the protocol.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.faults.Handler(nil))
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.handleRead)
	return mux
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	if f, ok := s.faults.Consume(FaultSlow); ok && standin.Sleep(r.Context(), f.Delay()) != nil {
		return
	}
	if _, ok := s.faults.Consume(FaultOutage); ok {
		standin.WriteError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if len(s.cfg.Versions) > 0 && !slices.Contains(s.cfg.Versions, r.PathValue("version")) {
		standin.WriteError(w, http.StatusNotFound, "unknown_version")
		return
	}
	s.reading.Add(1)
	defer s.reading.Add(-1)
	s.send(w, r)
}

func (s *Server) send(w http.ResponseWriter, r *http.Request) {
	zeros := make([]byte, int(s.cfg.BytesPerSecond*tick.Seconds())+1)
	for left := s.cfg.Bytes; left > 0; {
		if standin.Sleep(r.Context(), tick) != nil {
			return
		}
		n := min(left, int(s.rate(s.reading.Load())*tick.Seconds())+1)
		if _, err := w.Write(zeros[:n]); err != nil {
			return
		}
		left -= n
	}
}

// rate is the bytes a second of one read among so many.
func (s *Server) rate(readers int64) float64 {
	if full := int64(s.cfg.FullRateReaders); full > 0 && readers > full {
		return s.cfg.BytesPerSecond * float64(full) / float64(readers)
	}
	return s.cfg.BytesPerSecond
}
