package request

// Figures is the token usage of one request.
type Figures struct {
	PromptTokens uint64
	OutputTokens uint64
}
