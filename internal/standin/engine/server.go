package engine

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/standin"
)

// Error codes in responses.
const (
	codeWrongVersion  = "wrong_version"
	codeUnknownStream = "unknown_stream"
	codeStaleFence    = "stale_fence"
)

// Handler returns the HTTP handler of the protocol in docs/PROTOCOLS.md.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, false) })
	mux.HandleFunc("GET /v1/streams/{attempt}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{attempt}", e.handleCancel)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, e.Load()) })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, e.State()) })
	mux.HandleFunc("GET /events", e.handleEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("POST /kv/export", e.handleExport)
	mux.HandleFunc("POST /kv/import", e.handleImport)
	return e.withFaults(mux)
}

// withFaults serves POST /fault, and passes other requests to next, which it delays
// while the freeze fault is active.
func (e *Engine) withFaults(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", e.faults.Handler(func(f standin.Fault) {
		if f.Kind == FaultKill {
			e.cfg.Exit(crashExitStatus)
		}
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.faults.WaitWhile(r.Context(), FaultFreeze) == nil {
			w.Header().Set("X-Engine-Incarnation", e.incarnation)
			if e.cfg.Software != "" {
				w.Header().Set("X-Engine-Software", e.cfg.Software)
			}
			next.ServeHTTP(w, r)
		}
	})
	return standin.AnnounceLeaving(e.faults, mux)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	var req Request
	if !standin.ReadJSON(w, r, &req) || e.shed(w) {
		return
	}
	j, ok := e.newJob(r, req, chat)
	if !ok {
		standin.WriteError(w, http.StatusConflict, codeWrongVersion)
		return
	}
	e.submit(j)
	if req.Stream {
		e.streamEvents(w, r, j.stream, 0)
		return
	}
	e.writeCompletion(w, r, j.stream)
}

// shed refuses a request while the shed fault is active.
func (e *Engine) shed(w http.ResponseWriter) bool {
	fault, active := e.faults.Consume(FaultShed)
	if active {
		standin.WriteShed(w, fault)
	}
	return active
}

// newJob creates a job from a request and its headers. It returns false if the
// engine does not serve the weights version that the router requires.
func (e *Engine) newJob(r *http.Request, req Request, chat bool) (*job, bool) {
	requiredVersion := r.Header.Get("X-Weights-Version")
	version, ok := e.servedVersion(requiredVersion)
	if !ok {
		return nil, false
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	req.MaxTokens = cmp.Or(max(req.MaxTokens, 0), max(req.MaxCompletionTokens, 0), defaultMaxTokens)
	s := newStream(id, r.Header.Get("X-Client-Account"), req, chat)
	s.incarnation, s.version = e.incarnation, version
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	prompt := req.PromptText()
	return &job{stream: s, prompt: prompt, tokens: CountTokens(prompt), priority: priority, requiredVersion: requiredVersion}, true
}

// writeCompletion waits for the end of the stream and writes a response that is not
// streamed.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *stream) {
	s.addReader()
	defer s.removeReader(e.cfg.ResumeGrace, func() { e.removeStream(s) })
	for seq := 0; ; {
		state, err := s.wait(r.Context(), seq)
		if err != nil {
			return
		}
		seq += len(state.events)
		if !state.ended {
			continue
		}
		switch {
		case state.rejectCode != "":
			standin.WriteError(w, http.StatusConflict, state.rejectCode)
		case !state.complete:
			standin.AbortConnection()
		default:
			e.setStreamHeaders(w, s)
			standin.WriteJSON(w, http.StatusOK, s.completion())
		}
		return
	}
}

func (e *Engine) setStreamHeaders(w http.ResponseWriter, s *stream) {
	w.Header().Set("X-Request-Id", s.id)
	w.Header().Set("X-Engine-Incarnation", s.incarnation)
	w.Header().Set("X-Weights-Version", s.version)
}

// streamEvents writes the events of the stream as they are generated, starting at
// seq. It writes the headers with the first event, so that a rejection before can
// still set the status.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, s *stream, seq int) {
	s.addReader()
	defer s.removeReader(e.cfg.ResumeGrace, func() { e.removeStream(s) })
	headersWritten := false
	for {
		state, err := s.wait(r.Context(), seq)
		if err != nil || e.faults.WaitWhile(r.Context(), FaultFreeze) != nil {
			return
		}
		if !headersWritten && state.rejectCode != "" {
			standin.WriteError(w, http.StatusConflict, state.rejectCode)
			return
		}
		if !headersWritten && (len(state.events) > 0 || state.complete) {
			e.writeEventHeaders(w, s)
			headersWritten = true
		}
		if seq, err = writeEvents(w, seq, state.events); err != nil {
			return
		}
		if state.ended && !state.complete {
			standin.AbortConnection()
		}
		if state.ended {
			return
		}
	}
}

func (e *Engine) writeEventHeaders(w http.ResponseWriter, s *stream) {
	e.setStreamHeaders(w, s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

// writeEvents writes and flushes the events and returns the next sequence number.
func writeEvents(w http.ResponseWriter, seq int, events [][]byte) (int, error) {
	for _, data := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", seq, data); err != nil {
			return seq, err
		}
		seq++
	}
	return seq, http.NewResponseController(w).Flush()
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	if e.shed(w) {
		return
	}
	s, ok := e.findStream(r.PathValue("attempt"))
	if !ok {
		standin.WriteError(w, http.StatusNotFound, codeUnknownStream)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = -1
	}
	e.streamEvents(w, r, s, last+1)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	s, ok := e.findStream(r.PathValue("attempt"))
	if !ok {
		standin.WriteError(w, http.StatusNotFound, codeUnknownStream)
		return
	}
	e.removeStream(s)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	events, next := e.feed.longPoll(r.Context(), from, time.Duration(wait)*time.Millisecond)
	standin.WriteJSON(w, http.StatusOK, Events{Incarnation: e.incarnation, Next: next, Events: events})
}

type staleFenceResponse struct {
	Error string `json:"error"`
	Fence int64  `json:"fence"`
}

type orderResponse struct {
	OrderID string `json:"order_id"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	status, fence := e.applyOrder(o)
	switch status {
	case orderStaleFence:
		standin.WriteJSON(w, http.StatusConflict, staleFenceResponse{Error: codeStaleFence, Fence: fence})
	case orderAlreadyApplied:
		standin.WriteJSON(w, http.StatusOK, orderResponse{OrderID: o.OrderID})
	case orderAccepted:
		standin.WriteJSON(w, http.StatusAccepted, orderResponse{OrderID: o.OrderID})
	default:
		standin.WriteError(w, http.StatusBadRequest, "unknown_order")
	}
}
