package external

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// UsageLine is the usage of one model or service by one workspace.
type UsageLine struct {
	Workspace ident.Workspace `json:"workspace"`
	Model     ident.Model     `json:"model,omitempty"`
	Service   ident.Service   `json:"service,omitempty"`
	// UsedIn is the start of the window in which the use took place. It is
	// earlier than the report's window for usage that was counted late.
	UsedIn       time.Time `json:"usedIn"`
	Requests     uint64    `json:"requests"`
	PromptTokens uint64    `json:"promptTokens"`
	OutputTokens uint64    `json:"outputTokens"`
}
