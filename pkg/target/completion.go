package target

import (
	"encoding/json"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// CompletionRequest is the part of a caller's request body that the daemons read.
type CompletionRequest struct {
	Model     ident.Model `json:"model"`
	Stream    bool        `json:"stream"`
	MaxTokens int         `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// Prompt is the prompt of a plain completion, Messages that of a chat
	// completion.
	Prompt   json.RawMessage `json:"prompt"`
	Messages []Message       `json:"messages"`
}

// Message is one message of a chat. Its content is a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// OutputLimit returns the caller's bound on output tokens, or zero.
func (r *CompletionRequest) OutputLimit() int {
	return max(r.MaxTokens, r.MaxCompletionTokens, 0)
}
