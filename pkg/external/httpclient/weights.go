package httpclient

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// WeightStore reserves weight loads over HTTP.
type WeightStore struct {
	client *Client
}

var _ external.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns the weight store behind a client.
func NewWeightStore(client *Client) *WeightStore { return &WeightStore{client: client} }

// Reserve asks to load a model's weights.
func (s *WeightStore) Reserve(ctx context.Context, model ident.Model) (time.Duration, error) {
	answer, err := post[wire.ReserveAnswer](ctx, s.client, callTimeout, wire.PathReserve, wire.ReserveRequest{Model: model})
	return answer.Wait, err
}
