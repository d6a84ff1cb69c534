package load

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/standin/engine"
)

// ErrViolation is wrapped by every broken promise about an answer.
var ErrViolation = errors.New("violation")

// ErrAnswer is an error event in a stream: the answer failed, and says so.
var ErrAnswer = errors.New("error event")

const doneData = "[DONE]"

// chunk is a completion chunk, or an error event.
type chunk struct {
	engine.Completion
	Error *apiError `json:"error"`
}

// apiError is the OpenAI shape of an error.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// streamCheck follows one stream and tells the first promise it breaks. The
// text is compared with the one the stand-in engine gives for this prompt, so
// a chunk lost, doubled, out of order or of another request shows.
type streamCheck struct {
	text   engine.TextGenerator
	wanted int
	events int
	chunks int
	id     string
	usage  *engine.Usage
	done   bool
}

func newStreamCheck(req engine.Request) *streamCheck {
	return &streamCheck{text: engine.NewTextGenerator(req.PromptText()), wanted: req.MaxTokens}
}

// event takes the next event of the stream.
func (c *streamCheck) event(e event) error {
	if c.done {
		return errors.Wrap(ErrViolation, "event after the end marker")
	}
	if e.id != noID && e.id != c.events {
		return errors.Wrapf(ErrViolation, "event id %d, want %d", e.id, c.events)
	}
	c.events++
	if string(e.data) == doneData {
		c.done = true
		return c.atEnd()
	}
	var ch chunk
	if err := json.Unmarshal(e.data, &ch); err != nil {
		return errors.Wrapf(ErrViolation, "event %d is no chunk: %v", c.events-1, err)
	}
	if ch.Error != nil {
		return errors.Wrapf(ErrAnswer, "code=%s", ch.Error.Code)
	}
	return c.chunk(ch.Completion)
}

func (c *streamCheck) chunk(ch engine.Completion) error {
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
	if want := c.text.TokenText(c.chunks); text != want {
		return errors.Wrapf(ErrViolation, "chunk %d is %q, want %q", c.chunks, text, want)
	}
	c.chunks++
	return nil
}

func (c *streamCheck) atEnd() error {
	switch {
	case c.chunks != c.wanted:
		return errors.Wrapf(ErrViolation, "%d chunks, want %d", c.chunks, c.wanted)
	case c.usage == nil:
		return errors.Wrap(ErrViolation, "no usage")
	}
	return nil
}

// eof takes the clean end of the connection.
func (c *streamCheck) eof() error {
	if !c.done {
		return errors.Wrapf(ErrViolation, "stream ends after %d chunks without end marker or error", c.chunks)
	}
	return nil
}
