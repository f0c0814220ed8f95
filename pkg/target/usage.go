package target

// Usage holds the token counts that an engine reports in the last event of a stream
// or in a response that is not streamed.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}
