package openai

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrBadRequest is returned for a request body that is not valid.
var ErrBadRequest = errors.New("bad request body")

// Request holds the fields of a completion request that routing depends on.
type Request struct {
	Model  string
	Stream bool
	// MaxTokens limits the output tokens; 0 if the caller set no limit.
	MaxTokens int
	// Prompt is the text that is split into cached blocks.
	Prompt []byte
	// Body is the request body to send to an engine: the caller's, with
	// stream_options.include_usage set if it asks for a stream.
	Body []byte
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type requestFields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// ParseChat parses the body of a /v1/chat/completions request. The prompt is the
// role and the text of each message, each followed by a newline.
func ParseChat(body []byte) (Request, error) {
	f, req, err := parse(body)
	if err != nil {
		return Request{}, err
	}
	if len(f.Messages) == 0 {
		return Request{}, errors.Wrap(ErrBadRequest, "messages: expected at least one")
	}
	for i, m := range f.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return Request{}, errors.Wrapf(err, "messages[%d].content", i)
		}
		req.Prompt = append(req.Prompt, m.Role...)
		req.Prompt = append(req.Prompt, '\n')
		req.Prompt = append(req.Prompt, text...)
		req.Prompt = append(req.Prompt, '\n')
	}
	return req, nil
}

// ParseCompletion parses the body of a /v1/completions request.
func ParseCompletion(body []byte) (Request, error) {
	f, req, err := parse(body)
	if err != nil {
		return Request{}, err
	}
	var prompt string
	if err := json.Unmarshal(f.Prompt, &prompt); err != nil {
		return Request{}, errors.Wrap(ErrBadRequest, "prompt: expected a string")
	}
	req.Prompt = []byte(prompt)
	return req, nil
}

// parse reads what both kinds of request have in common.
func parse(body []byte) (requestFields, Request, error) {
	var f requestFields
	if err := json.Unmarshal(body, &f); err != nil {
		return f, Request{}, errors.Mark(errors.Wrap(err, "parse body"), ErrBadRequest)
	}
	if f.Model == "" {
		return f, Request{}, errors.Wrap(ErrBadRequest, "model: expected a name")
	}
	if f.MaxTokens < 0 || f.MaxCompletionTokens < 0 {
		return f, Request{}, errors.Wrap(ErrBadRequest, "max_tokens: expected 0 or more")
	}
	engineBody := body
	if f.Stream {
		var err error
		if engineBody, err = withIncludeUsage(body); err != nil {
			return f, Request{}, err
		}
	}
	return f, Request{Model: f.Model, Stream: f.Stream, MaxTokens: max(f.MaxTokens, f.MaxCompletionTokens), Body: engineBody}, nil
}

// withIncludeUsage makes the engine report its usage at the end of the stream.
// Without it, the estimated charge can't be corrected and the cache index is not
// updated.
func withIncludeUsage(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse body"), ErrBadRequest)
	}
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	out, err := json.Marshal(fields)
	return out, errors.Wrap(err, "encode body")
}

// contentText returns the text of a message's content, which is a string or a list
// of parts. Parts without text are ignored.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var s string
	if err := json.Unmarshal(raw, &s); err == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.Wrap(ErrBadRequest, "expected a string or a list of parts")
	}
	for _, p := range parts {
		s += p.Text
	}
	return s, nil
}
