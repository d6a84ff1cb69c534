package load

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/standin/engine"
)

// ErrViolation is wrapped by the error for every violated guarantee.
var ErrViolation = errors.New("violation")

// ErrStreamError is wrapped by the error for a stream that ends with an error
// event. The caller can tell that the answer failed, so it is not a violation.
var ErrStreamError = errors.New("error event")

const endMarker = "[DONE]"

// chunk is a completion chunk or an error event.
type chunk struct {
	engine.Completion
	Error *apiError `json:"error"`
}

// apiError is the error object of the OpenAI API.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// streamChecker checks the events of one stream in order. The text is compared
// with the one that the stand-in engine generates for the prompt, which detects
// chunks that are lost, duplicated, out of order or from another request.
type streamChecker struct {
	expected   engine.TextGenerator
	wantChunks int
	events     int
	chunks     int
	id         string
	usage      *engine.Usage
	done       bool
}

func newStreamChecker(req engine.Request) *streamChecker {
	return &streamChecker{expected: engine.NewTextGenerator(req.PromptText()), wantChunks: req.MaxTokens}
}

// checkEvent checks the next event of the stream.
func (c *streamChecker) checkEvent(e event) error {
	if c.done {
		return errors.Wrap(ErrViolation, "event after the end marker")
	}
	if e.id != noEventID && e.id != c.events {
		return errors.Wrapf(ErrViolation, "event id %d, want %d", e.id, c.events)
	}
	c.events++
	if string(e.data) == endMarker {
		c.done = true
		return c.checkComplete()
	}
	var ch chunk
	if err := json.Unmarshal(e.data, &ch); err != nil {
		return errors.Wrapf(ErrViolation, "event %d is not a completion chunk: %v", c.events-1, err)
	}
	if ch.Error != nil {
		return errors.Wrapf(ErrStreamError, "code=%s", ch.Error.Code)
	}
	return c.checkChunk(ch.Completion)
}

func (c *streamChecker) checkChunk(ch engine.Completion) error {
	if c.id == "" {
		c.id = ch.ID
	}
	if ch.ID != c.id {
		return errors.Wrapf(ErrViolation, "chunk of %s in the stream of %s", ch.ID, c.id)
	}
	if ch.Usage != nil {
		c.usage = ch.Usage
	}
	text := ch.Content()
	if text == "" {
		return nil
	}
	if want := c.expected.TokenText(c.chunks); text != want {
		return errors.Wrapf(ErrViolation, "chunk %d is %q, want %q", c.chunks, text, want)
	}
	c.chunks++
	return nil
}

func (c *streamChecker) checkComplete() error {
	switch {
	case c.chunks != c.wantChunks:
		return errors.Wrapf(ErrViolation, "%d chunks, want %d", c.chunks, c.wantChunks)
	case c.usage == nil:
		return errors.Wrap(ErrViolation, "no usage")
	}
	return nil
}

// checkEOF checks that the stream was complete when the connection was closed
// without an error.
func (c *streamChecker) checkEOF() error {
	if !c.done {
		return errors.Wrapf(ErrViolation, "stream ends after %d chunks without end marker or error", c.chunks)
	}
	return nil
}
