package external

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// WeightStore serves model weights to engines at a limited rate.
type WeightStore interface {
	// Reserve reserves a load of a model's weights and returns how long to wait
	// before starting it.
	Reserve(ctx context.Context, model ident.Model) (time.Duration, error)
}
