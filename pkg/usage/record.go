package usage

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Record is what one request used, taken once when its outcome is known.
type Record struct {
	Workspace ident.Workspace
	Model     ident.Model
	Service   ident.Service
	At        time.Time
	Figures   request.TokenUsage
}
