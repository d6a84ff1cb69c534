package engine

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// doneData is the data of the event that ends each stream.
const doneData = "[DONE]"

// stream is one answer being generated. Its events are kept so that a reader
// can come back for those it missed.
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
	// refused is the error code when the engine would not run it.
	refused string
	// ended says that no event follows, complete that the end marker came.
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

// change runs f under the lock and wakes the readers.
func (s *stream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) refuse(code string) {
	s.change(func() { s.refused, s.ended = code, true })
}

// chunk appends one token.
func (s *stream) chunk(text string) {
	data := s.encode(text, nil, nil)
	s.change(func() { s.events, s.text = append(s.events, data), s.text+text })
}

// finish appends the chunk with the usage and the end marker.
func (s *stream) finish(u Usage) {
	reason := "length"
	data := s.encode("", &reason, &u)
	s.change(func() {
		s.events = append(s.events, data, []byte(doneData))
		s.usage, s.ended, s.complete = u, true, true
	})
}

// abort ends the stream without its end marker.
func (s *stream) abort() { s.change(func() { s.ended = true }) }

func (s *stream) encode(text string, reason *string, u *Usage) []byte {
	c := Completion{ID: "cmpl-" + s.id, Object: "text_completion", Model: s.req.Model, Usage: u}
	choice := Choice{FinishReason: reason}
	if s.chat {
		c.Object = "chat.completion.chunk"
		choice.Delta = &Delta{Content: text}
	} else {
		choice.Text = text
	}
	c.Choices = []Choice{choice}
	data, _ := json.Marshal(c) // plain strings and numbers always encode
	return data
}

// whole is the answer to a request without streaming.
func (s *stream) whole() Completion {
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

// view is what a reader sees of a stream at one moment.
type view struct {
	events   [][]byte
	refused  string
	ended    bool
	complete bool
}

// wait returns the events from seq on once there are some or the stream has
// ended. It fails when ctx ends first.
func (s *stream) wait(ctx context.Context, seq int) (view, error) {
	for {
		s.mu.Lock()
		v := view{refused: s.refused, ended: s.ended, complete: s.complete}
		if seq < len(s.events) {
			v.events = s.events[seq:]
		}
		changed := s.changed
		s.mu.Unlock()
		if len(v.events) > 0 || v.ended {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach calls gone after the grace time if no reader has come back.
func (s *stream) detach(grace time.Duration, gone func()) {
	s.mu.Lock()
	s.readers--
	s.mu.Unlock()
	time.AfterFunc(grace, func() {
		s.mu.Lock()
		idle := s.readers == 0
		s.mu.Unlock()
		if idle {
			gone()
		}
	})
}
