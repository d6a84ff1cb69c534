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

// Error codes of the engine.
const (
	codeWrongVersion  = "wrong_version"
	codeUnknownStream = "unknown_stream"
	codeStaleFence    = "stale_fence"
)

// Handler serves the protocol.
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

// withFaults serves /fault beside next, and holds back next while frozen.
func (e *Engine) withFaults(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", e.faults.Handler(func(f standin.Fault) {
		if f.Kind == FaultKill {
			e.cfg.Exit(crashStatus)
		}
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.faults.WaitWhile(r.Context(), FaultFreeze) == nil {
			next.ServeHTTP(w, r)
		}
	})
	return mux
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	var req Request
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	j, ok := e.newJob(r, req, chat)
	if !ok {
		standin.WriteError(w, http.StatusConflict, codeWrongVersion)
		return
	}
	e.submit(j)
	if req.Stream {
		e.relay(w, r, j.stream, 0)
		return
	}
	e.answerWhole(w, r, j.stream)
}

// newJob reads the router's headers. It is not ok when the engine serves
// another version than the router counts on.
func (e *Engine) newJob(r *http.Request, req Request, chat bool) (*job, bool) {
	wanted := r.Header.Get("X-Weights-Version")
	version, ok := e.serving(wanted)
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
	return &job{stream: s, prompt: prompt, tokens: CountTokens(prompt), priority: priority, wanted: wanted}, true
}

// answerWhole waits for the end of the stream and answers in one body.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, s *stream) {
	s.attach()
	defer s.detach(e.cfg.ResumeGrace, func() { e.forget(s) })
	for seq := 0; ; {
		v, err := s.wait(r.Context(), seq)
		if err != nil {
			return
		}
		seq += len(v.events)
		if !v.ended {
			continue
		}
		switch {
		case v.refused != "":
			standin.WriteError(w, http.StatusConflict, v.refused)
		case !v.complete:
			standin.AbortConnection()
		default:
			e.setHeaders(w, s)
			standin.WriteJSON(w, http.StatusOK, s.whole())
		}
		return
	}
}

func (e *Engine) setHeaders(w http.ResponseWriter, s *stream) {
	w.Header().Set("X-Request-Id", s.id)
	w.Header().Set("X-Engine-Incarnation", s.incarnation)
	w.Header().Set("X-Weights-Version", s.version)
}

// relay writes the stream's events from seq on as they appear. The headers
// wait for the first event, so that a refusal can still be a status.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, seq int) {
	s.attach()
	defer s.detach(e.cfg.ResumeGrace, func() { e.forget(s) })
	started := false
	for {
		v, err := s.wait(r.Context(), seq)
		if err != nil || e.faults.WaitWhile(r.Context(), FaultFreeze) != nil {
			return
		}
		if !started && v.refused != "" {
			standin.WriteError(w, http.StatusConflict, v.refused)
			return
		}
		if !started && (len(v.events) > 0 || v.complete) {
			e.startEvents(w, s)
			started = true
		}
		if seq, err = writeEvents(w, seq, v.events); err != nil {
			return
		}
		if v.ended && !v.complete {
			standin.AbortConnection()
		}
		if v.ended {
			return
		}
	}
}

func (e *Engine) startEvents(w http.ResponseWriter, s *stream) {
	e.setHeaders(w, s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

// writeEvents sends the events at once and returns the next sequence number.
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
	s, ok := e.find(r.PathValue("attempt"))
	if !ok {
		standin.WriteError(w, http.StatusNotFound, codeUnknownStream)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = -1
	}
	e.relay(w, r, s, last+1)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	s, ok := e.find(r.PathValue("attempt"))
	if !ok {
		standin.WriteError(w, http.StatusNotFound, codeUnknownStream)
		return
	}
	e.forget(s)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	events, next := e.feed.wait(r.Context(), from, time.Duration(wait)*time.Millisecond)
	standin.WriteJSON(w, http.StatusOK, Events{Incarnation: e.incarnation, Next: next, Events: events})
}

type staleFence struct {
	Error string `json:"error"`
	Fence int64  `json:"fence"`
}

type orderAnswer struct {
	OrderID string `json:"order_id"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	v, fence := e.order(o)
	switch v {
	case orderStale:
		standin.WriteJSON(w, http.StatusConflict, staleFence{Error: codeStaleFence, Fence: fence})
	case orderDone:
		standin.WriteJSON(w, http.StatusOK, orderAnswer{OrderID: o.OrderID})
	case orderTaken:
		standin.WriteJSON(w, http.StatusAccepted, orderAnswer{OrderID: o.OrderID})
	default:
		standin.WriteError(w, http.StatusBadRequest, "unknown_order")
	}
}
