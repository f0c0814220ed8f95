package external

import "context"

// TargetOrderer orders targets from the platform by failure domain.
type TargetOrderer interface {
	// Order requests the desired count. Targets arrive later, or not at all.
	// It fails with kind Fenced if the platform has seen a higher fencing token.
	Order(ctx context.Context, order TargetOrder) error
	// Orders returns the latest order for each failure domain, model and kind.
	Orders(ctx context.Context) ([]TargetOrder, error)
	// Targets returns the targets that are currently placed.
	Targets(ctx context.Context) ([]TargetRecord, error)
}
