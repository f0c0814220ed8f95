package external

import "context"

// TargetOrderer orders targets from the platform by failure domain.
type TargetOrderer interface {
	// Order asks for the wanted count. Targets arrive later, or not at all.
	// It fails with kind Fenced where a higher fencing number was seen.
	Order(ctx context.Context, order TargetOrder) error
	// Orders returns the newest order for each failure domain, model and kind.
	Orders(ctx context.Context) ([]TargetOrder, error)
	// Targets returns the targets that are placed at present.
	Targets(ctx context.Context) ([]TargetRecord, error)
}
