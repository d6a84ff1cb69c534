package openai

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrBadRequest is returned for a body that cannot be read.
var ErrBadRequest = errors.New("bad request body")

// Request is what the router needs to know of a completion request.
type Request struct {
	Model  string
	Stream bool
	// MaxTokens is the allowed output; 0 when the caller set none.
	MaxTokens int
	// Prompt is the text that cached pieces are cut from.
	Prompt []byte
	// Body is the request to send to an engine: the caller's own, with the
	// usage asked for on streams.
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

type fields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// ParseChat reads a /v1/chat/completions body.
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

// ParseCompletion reads a /v1/completions body.
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

func parse(body []byte) (fields, Request, error) {
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return f, Request{}, errors.Mark(errors.Wrap(err, "parse body"), ErrBadRequest)
	}
	if f.Model == "" {
		return f, Request{}, errors.Wrap(ErrBadRequest, "model: expected a name")
	}
	if f.MaxTokens < 0 || f.MaxCompletionTokens < 0 {
		return f, Request{}, errors.Wrap(ErrBadRequest, "max_tokens: expected 0 or more")
	}
	out := body
	if f.Stream {
		var err error
		if out, err = withUsage(body); err != nil {
			return f, Request{}, err
		}
	}
	return f, Request{Model: f.Model, Stream: f.Stream, MaxTokens: max(f.MaxTokens, f.MaxCompletionTokens), Body: out}, nil
}

// withUsage asks for the usage block at the end of the stream: without it the
// charge could not be corrected and the cache index would learn nothing.
func withUsage(body []byte) ([]byte, error) {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(body, &whole); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse body"), ErrBadRequest)
	}
	whole["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	out, err := json.Marshal(whole)
	return out, errors.Wrap(err, "encode body")
}

// contentText reads a message's content: a string, or parts of which the text
// ones count.
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
