package usage

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Record is the usage of one request, recorded once its outcome is known.
type Record struct {
	Workspace ident.Workspace
	Model     ident.Model
	Service   ident.Service
	// At is when the request ended; its usage counts in the window of that time.
	At     time.Time
	Tokens request.TokenUsage
}
