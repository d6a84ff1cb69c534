package weights

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mastictray/mastictray/internal/standin"
)

// Supported kinds of fault.
const (
	FaultOutage = "outage"
	FaultSlow   = "slow"
)

// writeInterval is the time between two writes to a response.
const writeInterval = 20 * time.Millisecond

// Config sets the versions, the sizes and the bandwidth of the store.
type Config struct {
	// Versions are the versions that exist of every model. If empty, every version exists.
	Versions []string
	// Bytes is the size of every version.
	Bytes int
	// BytesPerSecond is the full rate of one read.
	BytesPerSecond float64
	// FullRateReaders is the number of concurrent reads that run at the full
	// rate. More reads share FullRateReaders * BytesPerSecond equally; 0 means no
	// limit.
	FullRateReaders int
}

// Server serves reads of weights.
type Server struct {
	cfg         Config
	faults      *standin.Faults
	activeReads atomic.Int64
}

// New returns a weight store.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, faults: standin.NewFaults(FaultOutage, FaultSlow)}
}

// Handler returns the HTTP handler of the protocol in docs/PROTOCOLS.md.
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
	s.activeReads.Add(1)
	defer s.activeReads.Add(-1)
	s.sendWeights(w, r)
}

func (s *Server) sendWeights(w http.ResponseWriter, r *http.Request) {
	zeros := make([]byte, int(s.cfg.BytesPerSecond*writeInterval.Seconds())+1)
	for remaining := s.cfg.Bytes; remaining > 0; {
		if standin.Sleep(r.Context(), writeInterval) != nil {
			return
		}
		n := min(remaining, int(s.readRate(s.activeReads.Load())*writeInterval.Seconds())+1)
		if _, err := w.Write(zeros[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

// readRate returns the rate of each read in bytes per second while activeReads
// reads run.
func (s *Server) readRate(activeReads int64) float64 {
	if fullRateReaders := int64(s.cfg.FullRateReaders); fullRateReaders > 0 && activeReads > fullRateReaders {
		return s.cfg.BytesPerSecond * float64(fullRateReaders) / float64(activeReads)
	}
	return s.cfg.BytesPerSecond
}
