package engine

import "strings"

// Message is a chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat completion request, with Messages, or a text
// completion request, with Prompt.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens, used if that is not
	// set.
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
}

// PromptText returns the text that is split into pieces and counted in tokens.
func (r Request) PromptText() []byte {
	if len(r.Messages) == 0 {
		return []byte(r.Prompt)
	}
	var sb strings.Builder
	for _, m := range r.Messages {
		sb.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return []byte(sb.String())
}

// Usage counts the tokens of a request and its response.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails has the number of prompt tokens that were cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice is one alternative of a completion or a chunk. Chunks of chat completions
// have Delta, complete chat completions Message, and text completions Text.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that a chunk of a chat completion adds.
type Delta struct {
	Content string `json:"content"`
}

// Completion is a complete response or one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Content returns the text of the first choice.
func (c Completion) Content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	ch := c.Choices[0]
	switch {
	case ch.Delta != nil:
		return ch.Delta.Content
	case ch.Message != nil:
		return ch.Message.Content
	}
	return ch.Text
}
