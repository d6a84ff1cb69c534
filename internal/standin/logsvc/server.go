package logsvc

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/standin"
)

// Kinds of fault.
const (
	FaultOutage     = "outage"
	FaultSlow       = "slow"
	FaultLoseAnswer = "lose_answer"
	FaultTrim       = "trim"
)

const (
	defaultLimit = 1000
	maxWait      = 60 * time.Second
)

// Config sets the limits of the service. Zero means no limit.
type Config struct {
	// RetainRecords is how many records of each stream are kept.
	RetainRecords int
	// RetainFor is how long a record is kept.
	RetainFor time.Duration
	// AppendsPerSecond and ReadsPerSecond are how many calls are taken in
	// a second.
	AppendsPerSecond int
	ReadsPerSecond   int
}

// Server is the log service.
type Server struct {
	cfg     Config
	faults  *standin.Faults
	mu      sync.Mutex
	streams map[string]*stream
	appends rateLimit
	reads   rateLimit
}

// rateLimit counts the calls of the running second.
type rateLimit struct {
	second int64
	taken  int
}

// take reports whether one more call is within perSecond; 0 is no limit.
func (l *rateLimit) take(now time.Time, perSecond int) bool {
	if now.Unix() != l.second {
		l.second, l.taken = now.Unix(), 0
	}
	l.taken++
	return perSecond == 0 || l.taken <= perSecond
}

// New returns an empty log service.
func New(cfg Config) *Server {
	return &Server{
		cfg:     cfg,
		faults:  standin.NewFaults(FaultOutage, FaultSlow, FaultLoseAnswer, FaultTrim),
		streams: map[string]*stream{},
	}
}

// Handler serves the protocol.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.guard(s.handleAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.guard(s.handleRead))
	mux.HandleFunc("POST /fault", s.faults.Handler(s.act))
	return mux
}

func (s *Server) act(f standin.Fault) {
	if f.Kind != FaultTrim {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.keep(f.Count)
	}
}

// guard applies the faults that strike before a call has any effect.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
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

type appendAnswer struct {
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
	first, ok := s.append(r.PathValue("stream"), time.Now(), req.Records)
	if !ok {
		refuseRate(w)
		return
	}
	if _, lose := s.faults.Consume(FaultLoseAnswer); lose {
		standin.AbortConnection()
	}
	standin.WriteJSON(w, http.StatusOK, appendAnswer{FirstOffset: first})
}

// append stores the records unless the second's appends are used up.
func (s *Server) append(name string, now time.Time, data [][]byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.appends.take(now, s.cfg.AppendsPerSecond) {
		return 0, false
	}
	st := s.stream(name)
	first := st.append(now, data)
	s.retain(st, now)
	return first, true
}

func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

func (s *Server) retain(st *stream, now time.Time) {
	if s.cfg.RetainRecords > 0 {
		st.keep(s.cfg.RetainRecords)
	}
	if s.cfg.RetainFor > 0 {
		st.expire(now.Add(-s.cfg.RetainFor))
	}
}

type readAnswer struct {
	Start   int64    `json:"start"`
	Next    int64    `json:"next"`
	Records []record `json:"records"`
}

type trimmedAnswer struct {
	Error string `json:"error"`
	Start int64  `json:"start"`
}

func refuseRate(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	standin.WriteError(w, http.StatusTooManyRequests, "rate_limited")
}

func (s *Server) takeRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.take(now, s.cfg.ReadsPerSecond)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.takeRead(time.Now()) {
		refuseRate(w)
		return
	}
	from := queryInt(r, "from", 0)
	limit := int(max(1, queryInt(r, "limit", defaultLimit)))
	wait := min(time.Duration(queryInt(r, "wait_ms", 0))*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	ans := s.read(ctx, r.PathValue("stream"), from, limit)
	if _, out := s.faults.Get(FaultOutage); out {
		standin.WriteError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if from < ans.Start {
		standin.WriteJSON(w, http.StatusGone, trimmedAnswer{Error: "trimmed", Start: ans.Start})
		return
	}
	standin.WriteJSON(w, http.StatusOK, ans)
}

// read waits until there is a record at from, or until wait ends.
func (s *Server) read(wait context.Context, name string, from int64, limit int) readAnswer {
	for {
		s.mu.Lock()
		st := s.stream(name)
		s.retain(st, time.Now())
		ans := readAnswer{Start: st.start, Next: st.next(), Records: []record{}}
		if from >= st.start {
			ans.Records = st.from(from, limit)
		}
		changed := st.changed
		s.mu.Unlock()
		if len(ans.Records) > 0 || from < ans.Start {
			return ans
		}
		select {
		case <-changed:
		case <-wait.Done():
			return ans
		}
	}
}

func queryInt(r *http.Request, key string, def int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return def
	}
	return n
}
