package logsvc

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/standin"
)

// Supported kinds of fault.
const (
	FaultOutage     = "outage"
	FaultSlow       = "slow"
	FaultLoseAnswer = "lose_answer"
	FaultTrim       = "trim"
)

const (
	defaultReadLimit = 1000
	maxReadWait      = 60 * time.Second
)

// Config sets the limits of the service. The zero value of each means no limit.
type Config struct {
	// RetainRecords is the number of records retained in each stream.
	RetainRecords int
	// RetainFor is the time for which a record is retained.
	RetainFor time.Duration
	// AppendsPerSecond and ReadsPerSecond limit the calls to the whole service.
	AppendsPerSecond int
	ReadsPerSecond   int
}

// Server holds the streams and serves appends and reads.
type Server struct {
	cfg     Config
	faults  *standin.Faults
	mu      sync.Mutex
	streams map[string]*stream
	appends rateLimit
	reads   rateLimit
}

// rateLimit counts the calls in the current second.
type rateLimit struct {
	second int64
	calls  int
}

// allow counts a call and reports whether it is within the limit perSecond; 0 means
// no limit.
func (l *rateLimit) allow(now time.Time, perSecond int) bool {
	if now.Unix() != l.second {
		l.second, l.calls = now.Unix(), 0
	}
	l.calls++
	return perSecond == 0 || l.calls <= perSecond
}

// New returns a log service without streams.
func New(cfg Config) *Server {
	return &Server{
		cfg:     cfg,
		faults:  standin.NewFaults(FaultOutage, FaultSlow, FaultLoseAnswer, FaultTrim),
		streams: map[string]*stream{},
	}
}

// Handler returns the HTTP handler of the protocol in docs/PROTOCOLS.md.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.withFaults(s.handleAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.withFaults(s.handleRead))
	mux.HandleFunc("POST /fault", s.faults.Handler(s.onFaultSet))
	return mux
}

// onFaultSet trims the streams immediately when the trim fault is set.
func (s *Server) onFaultSet(f standin.Fault) {
	if f.Kind != FaultTrim {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.keepNewest(f.Count)
	}
}

// withFaults applies the faults that occur before a call has any effect.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f, ok := s.faults.Consume(FaultSlow); ok {
			if standin.Sleep(r.Context(), f.Delay()) != nil {
				return
			}
		}
		if _, ok := s.faults.Consume(FaultOutage); ok {
			standin.WriteError(w, http.StatusServiceUnavailable, "outage")
			return
		}
		next(w, r)
	}
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	FirstOffset int64 `json:"first_offset"`
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req appendRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	if len(req.Records) == 0 {
		standin.WriteError(w, http.StatusBadRequest, "no_records")
		return
	}
	first, ok := s.appendRecords(r.PathValue("stream"), time.Now(), req.Records)
	if !ok {
		writeRateLimited(w)
		return
	}
	if _, loseResponse := s.faults.Consume(FaultLoseAnswer); loseResponse {
		standin.AbortConnection()
	}
	standin.WriteJSON(w, http.StatusOK, appendResponse{FirstOffset: first})
}

// appendRecords stores the records and returns the offset of the first. It returns
// false if the limit of appends per second is reached.
func (s *Server) appendRecords(name string, now time.Time, data [][]byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.appends.allow(now, s.cfg.AppendsPerSecond) {
		return 0, false
	}
	st := s.getOrCreateStream(name)
	first := st.append(now, data)
	s.applyRetention(st, now)
	return first, true
}

func (s *Server) getOrCreateStream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

func (s *Server) applyRetention(st *stream, now time.Time) {
	if s.cfg.RetainRecords > 0 {
		st.keepNewest(s.cfg.RetainRecords)
	}
	if s.cfg.RetainFor > 0 {
		st.dropBefore(now.Add(-s.cfg.RetainFor))
	}
}

type readResponse struct {
	Start   int64    `json:"start"`
	Next    int64    `json:"next"`
	Records []record `json:"records"`
}

type trimmedResponse struct {
	Error string `json:"error"`
	Start int64  `json:"start"`
}

func writeRateLimited(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	standin.WriteError(w, http.StatusTooManyRequests, "rate_limited")
}

func (s *Server) allowRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.allow(now, s.cfg.ReadsPerSecond)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.allowRead(time.Now()) {
		writeRateLimited(w)
		return
	}
	from := queryInt(r, "from", 0)
	limit := int(max(1, queryInt(r, "limit", defaultReadLimit)))
	wait := min(time.Duration(queryInt(r, "wait_ms", 0))*time.Millisecond, maxReadWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	resp := s.waitAndRead(ctx, r.PathValue("stream"), from, limit)
	if _, outage := s.faults.Get(FaultOutage); outage {
		standin.WriteError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if from < resp.Start {
		standin.WriteJSON(w, http.StatusGone, trimmedResponse{Error: "trimmed", Start: resp.Start})
		return
	}
	standin.WriteJSON(w, http.StatusOK, resp)
}

// waitAndRead waits until the record at the offset from exists, returning at once
// if it is trimmed, or until ctx ends.
func (s *Server) waitAndRead(ctx context.Context, name string, from int64, limit int) readResponse {
	for {
		s.mu.Lock()
		st := s.getOrCreateStream(name)
		s.applyRetention(st, time.Now())
		resp := readResponse{Start: st.startOffset, Next: st.nextOffset(), Records: []record{}}
		if from >= st.startOffset {
			resp.Records = st.readFrom(from, limit)
		}
		changed := st.changed
		s.mu.Unlock()
		if len(resp.Records) > 0 || from < resp.Start {
			return resp
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return resp
		}
	}
}

func queryInt(r *http.Request, name string, defaultValue int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return defaultValue
	}
	return n
}
