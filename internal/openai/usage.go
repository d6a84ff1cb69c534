package openai

import (
	"bytes"
	"encoding/json"
)

var usageField = []byte(`"usage"`)

// Usage is the token count that an engine reports with an answer.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails says how much of the prompt the engine had cached.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ParseUsage reads the usage block of an answer or a chunk. False when there is
// none.
func ParseUsage(data []byte) (Usage, bool) {
	if !bytes.Contains(data, usageField) {
		return Usage{}, false // spares all chunks but the last the decoding
	}
	var a struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &a) != nil || a.Usage == nil {
		return Usage{}, false
	}
	return *a.Usage, true
}
