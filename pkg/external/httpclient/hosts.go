package httpclient

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
)

// HostList lists hosts over HTTP.
type HostList struct {
	client *Client
}

var _ external.HostList = (*HostList)(nil)

// NewHostList returns the host list behind a client.
func NewHostList(client *Client) *HostList { return &HostList{client: client} }

// Hosts returns what the platform knows at present.
func (h *HostList) Hosts(ctx context.Context) ([]external.HostRecord, error) {
	list, err := post[wire.HostList](ctx, h.client, callTimeout, wire.PathHosts, wire.Empty{})
	return list.Hosts, err
}
