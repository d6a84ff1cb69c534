package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/mastictray/mastictray/internal/openai"
)

// relay passes a target's answer on.
func (s *server) relay(e *engineCall, resp *http.Response) error {
	if e.req.Stream {
		return s.relayStream(e, resp)
	}
	return s.relayWhole(e, resp)
}

// relayWhole reads the whole answer before the first byte goes out, so that a
// broken answer can still be had from another target.
func (s *server) relayWhole(e *engineCall, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBodyBytes))
	if err != nil {
		return &openai.Error{Status: http.StatusBadGateway, Code: openai.CodeTargetFailed, Outcome: openai.MayHaveRun, Message: "the answer broke off"}
	}
	s.metrics.firstToken(e.pool.Name, s.clock.now()-e.began)
	e.usage, _ = openai.UsageOf(body)
	e.wrote = true
	e.w.Header().Set("Content-Type", "application/json")
	_, _ = e.w.Write(body)
	return nil
}

var (
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
)

func (s *server) relayStream(e *engineCall, resp *http.Response) error {
	r := bufio.NewReader(resp.Body)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return &openai.Error{Status: http.StatusBadGateway, Code: openai.CodeStreamBroken, Outcome: openai.MayHaveRun, Message: "the stream broke off"}
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataField)
		if !ok {
			continue
		}
		s.chunk(e, data)
		if bytes.Equal(data, doneData) {
			return nil
		}
	}
}

// chunk writes one event to the caller.
func (s *server) chunk(e *engineCall, data []byte) {
	if !e.wrote {
		e.wrote = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-cache")
		s.metrics.firstToken(e.pool.Name, s.clock.now()-e.began)
	}
	if u, ok := openai.UsageOf(data); ok {
		e.usage = u
	}
	_, _ = e.w.Write(dataField)
	_, _ = e.w.Write(data)
	_, _ = e.w.Write([]byte("\n\n"))
	if f, ok := e.w.(http.Flusher); ok {
		f.Flush()
	}
}
