package httpclient

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
)

// UsageSink implements external.UsageSink over HTTP.
type UsageSink struct {
	client *Client
}

var _ external.UsageSink = (*UsageSink)(nil)

// NewUsageSink returns a usage sink that uses the client.
func NewUsageSink(client *Client) *UsageSink { return &UsageSink{client: client} }

// Report submits one window's report.
func (u *UsageSink) Report(ctx context.Context, report external.UsageReport) error {
	_, err := post[wire.Empty](ctx, u.client, callTimeout, wire.PathReport, report)
	return err
}
