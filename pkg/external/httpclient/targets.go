package httpclient

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
)

// TargetOrderer implements external.TargetOrderer over HTTP.
type TargetOrderer struct {
	client *Client
}

var _ external.TargetOrderer = (*TargetOrderer)(nil)

// NewTargetOrderer returns a target orderer that uses the client.
func NewTargetOrderer(client *Client) *TargetOrderer { return &TargetOrderer{client: client} }

// Order requests a desired count.
func (t *TargetOrderer) Order(ctx context.Context, order external.TargetOrder) error {
	_, err := post[wire.Empty](ctx, t.client, callTimeout, wire.PathOrder, order)
	return err
}

// Orders returns the latest orders.
func (t *TargetOrderer) Orders(ctx context.Context) ([]external.TargetOrder, error) {
	list, err := post[wire.OrderList](ctx, t.client, callTimeout, wire.PathOrders, wire.Empty{})
	return list.Orders, err
}

// Targets returns the placed targets.
func (t *TargetOrderer) Targets(ctx context.Context) ([]external.TargetRecord, error) {
	list, err := post[wire.TargetList](ctx, t.client, callTimeout, wire.PathTargets, wire.Empty{})
	return list.Targets, err
}
