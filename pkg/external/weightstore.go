package external

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// WeightStore hands out model weights to engines at a bounded rate.
type WeightStore interface {
	// Reserve asks to load a model's weights and returns how long to wait
	// before starting.
	Reserve(ctx context.Context, model ident.Model) (time.Duration, error)
}
