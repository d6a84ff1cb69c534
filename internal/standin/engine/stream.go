package engine

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// doneData is the data of the last event of a stream.
const doneData = "[DONE]"

// stream is a response that is being generated. It retains its events so that a
// reader that reconnects can get those it missed.
type stream struct {
	id          string
	account     string
	req         Request
	chat        bool
	incarnation string
	version     string
	ctx         context.Context
	cancel      context.CancelFunc

	mu     sync.Mutex
	events [][]byte
	// rejectCode is the error code if the engine rejected the request.
	rejectCode string
	// ended is set when no more events follow, and complete if the last event is
	// doneData.
	ended    bool
	complete bool
	usage    Usage
	text     string
	readers  int
	changed  chan struct{}
}

func newStream(id, account string, req Request, chat bool) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	return &stream{id: id, account: account, req: req, chat: chat, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

// update calls f with the lock held and wakes the waiting readers.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) reject(code string) {
	s.update(func() { s.rejectCode, s.ended = code, true })
}

// appendToken appends a chunk with one token.
func (s *stream) appendToken(text string) {
	data := s.encodeChunk(text, nil, nil)
	s.update(func() { s.events, s.text = append(s.events, data), s.text+text })
}

// finish appends the chunk with the usage and the event with doneData.
func (s *stream) finish(u Usage) {
	reason := "length"
	data := s.encodeChunk("", &reason, &u)
	s.update(func() {
		s.events = append(s.events, data, []byte(doneData))
		s.usage, s.ended, s.complete = u, true, true
	})
}

// abort ends the stream without the event with doneData.
func (s *stream) abort() { s.update(func() { s.ended = true }) }

func (s *stream) encodeChunk(text string, reason *string, u *Usage) []byte {
	c := Completion{ID: "cmpl-" + s.id, Object: "text_completion", Model: s.req.Model, Usage: u}
	choice := Choice{FinishReason: reason}
	if s.chat {
		c.Object = "chat.completion.chunk"
		choice.Delta = &Delta{Content: text}
	} else {
		choice.Text = text
	}
	c.Choices = []Choice{choice}
	data, _ := json.Marshal(c) // strings and numbers cannot fail to encode
	return data
}

// completion returns the response to a request without streaming.
func (s *stream) completion() Completion {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason, u := "length", s.usage
	c := Completion{ID: "cmpl-" + s.id, Object: "text_completion", Model: s.req.Model, Usage: &u}
	choice := Choice{FinishReason: &reason}
	if s.chat {
		c.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: s.text}
	} else {
		choice.Text = s.text
	}
	c.Choices = []Choice{choice}
	return c
}

// streamState is the state of a stream and the events that a reader has not read.
type streamState struct {
	events     [][]byte
	rejectCode string
	ended      bool
	complete   bool
}

// wait waits until there are events from seq on or the stream has ended, and
// returns them. It returns an error if ctx ends first.
func (s *stream) wait(ctx context.Context, seq int) (streamState, error) {
	for {
		s.mu.Lock()
		state := streamState{rejectCode: s.rejectCode, ended: s.ended, complete: s.complete}
		if seq < len(s.events) {
			state.events = s.events[seq:]
		}
		changed := s.changed
		s.mu.Unlock()
		if len(state.events) > 0 || state.ended {
			return state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state, ctx.Err()
		}
	}
}

func (s *stream) addReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// removeReader calls onIdle after the grace period if the stream has no reader then.
func (s *stream) removeReader(grace time.Duration, onIdle func()) {
	s.mu.Lock()
	s.readers--
	s.mu.Unlock()
	time.AfterFunc(grace, func() {
		s.mu.Lock()
		idle := s.readers == 0
		s.mu.Unlock()
		if idle {
			onIdle()
		}
	})
}
