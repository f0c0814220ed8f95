package target

import "amaranthplank.example/amaranthplank/pkg/ident"

// CompletionRequest is the part of a caller's body that the system reads.
type CompletionRequest struct {
	Model     ident.Model `json:"model"`
	Stream    bool        `json:"stream"`
	MaxTokens int         `json:"max_tokens"`
}
