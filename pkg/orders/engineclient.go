package orders

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// EngineClient sends orders to engines and reads their load reports.
type EngineClient interface {
	// Send sends an order once, without retries. It fails with kind Unknown
	// if the order may have arrived; any other failure means that it did not
	// and will not.
	Send(ctx context.Context, engine external.TargetRecord, order target.Order) error
	// Report fetches a load report from the engine itself.
	Report(ctx context.Context, engine external.TargetRecord) (fleet.LoadReport, error)
}
