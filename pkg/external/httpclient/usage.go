package httpclient

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
)

// UsageSink takes usage reports over HTTP.
type UsageSink struct {
	client *Client
}

var _ external.UsageSink = (*UsageSink)(nil)

// NewUsageSink returns the sink behind a client.
func NewUsageSink(client *Client) *UsageSink { return &UsageSink{client: client} }

// Report hands in one window's figures.
func (u *UsageSink) Report(ctx context.Context, report external.UsageReport) error {
	_, err := post[wire.Empty](ctx, u.client, callTimeout, wire.PathReport, report)
	return err
}
