package request

// TokenUsage counts the tokens of one request.
type TokenUsage struct {
	PromptTokens uint64
	OutputTokens uint64
}
