package openai

import (
	"bytes"
	"encoding/json"
)

var usageField = []byte(`"usage"`)

// Usage is the token usage that an engine reports with a response.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails breaks down the prompt tokens. CachedTokens is the number
// that the engine had in its prefix cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ParseUsage returns the usage block of a response body or a stream chunk, and
// false if there is none.
func ParseUsage(data []byte) (Usage, bool) {
	if !bytes.Contains(data, usageField) {
		return Usage{}, false // avoids decoding every chunk: only the last one has a usage block
	}
	var response struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &response) != nil || response.Usage == nil {
		return Usage{}, false
	}
	return *response.Usage, true
}
