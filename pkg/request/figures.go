package request

// Figures is what one request used.
type Figures struct {
	PromptTokens uint64
	OutputTokens uint64
}
