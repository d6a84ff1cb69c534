package openai

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestParseChat(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		prompt string
		bad    bool
	}{
		{"plain", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, "user\nhi\n", false},
		{"parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "user\nab\n", false},
		{"no model", `{"messages":[{"role":"user","content":"hi"}]}`, "", true},
		{"no messages", `{"model":"m"}`, "", true},
		{"no JSON", `model=m`, "", true},
		{"negative output", `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"hi"}]}`, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			req, err := ParseChat([]byte(tt.body))
			if tt.bad {
				is.True(errors.Is(err, ErrBadRequest))
				return
			}
			is.NoErr(err)
			is.Equal(string(req.Prompt), tt.prompt)
		})
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = ParseChat(body)
		_, _ = ParseCompletion(body)
	})
}
