package httpclient

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
)

// HostList implements external.HostList over HTTP.
type HostList struct {
	client *Client
}

var _ external.HostList = (*HostList)(nil)

// NewHostList returns a host list that uses the client.
func NewHostList(client *Client) *HostList { return &HostList{client: client} }

// Hosts returns the hosts that the platform currently lists.
func (h *HostList) Hosts(ctx context.Context) ([]external.HostRecord, error) {
	list, err := post[wire.HostList](ctx, h.client, callTimeout, wire.PathHosts, wire.Empty{})
	return list.Hosts, err
}
