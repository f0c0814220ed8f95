package orders

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// EngineClient reaches the engines.
type EngineClient interface {
	// Send sends an order once and never repeats it by itself. It fails with
	// kind Unknown where the order may have arrived; any other failure says
	// that it did not and will not.
	Send(ctx context.Context, engine external.TargetRecord, order target.Order) error
	// Report returns the engine's own report of itself.
	Report(ctx context.Context, engine external.TargetRecord) (fleet.LoadReport, error)
}
