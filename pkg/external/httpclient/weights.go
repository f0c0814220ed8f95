package httpclient

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// WeightStore implements external.WeightStore over HTTP.
type WeightStore struct {
	client *Client
}

var _ external.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a weight store that uses the client.
func NewWeightStore(client *Client) *WeightStore { return &WeightStore{client: client} }

// Reserve reserves a load of a model's weights.
func (s *WeightStore) Reserve(ctx context.Context, model ident.Model) (time.Duration, error) {
	response, err := post[wire.ReserveResponse](ctx, s.client, callTimeout, wire.PathReserve, wire.ReserveRequest{Model: model})
	return response.Wait, err
}
