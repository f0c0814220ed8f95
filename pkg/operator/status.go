package operator

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// Status is one daemon's view of the fleet.
type Status struct {
	Host ident.Host `json:"host"`
	// Serving is set while the daemon's configuration allows it to serve callers.
	Serving   bool             `json:"serving"`
	Revisions config.Revisions `json:"revisions"`
	Freshness config.Freshness `json:"freshness"`
	// Roster lists the hosts of which a majority must load a change of the
	// configuration or of the holds for it to be accepted.
	Roster []ident.Host `json:"roster"`
	// Held lists the targets that get no new work because an order for them is
	// being carried out. The holds consist of these and the roster.
	Held    []config.Hold        `json:"held"`
	Members []MemberStatus       `json:"members"`
	Orders  []orders.OrderStatus `json:"orders"`
	Usage   []usage.ShardStatus  `json:"usage"`
	Missing []UnavailablePart    `json:"missing,omitempty"`
}

// UnavailablePart is a part of the status that could not be read, and why.
type UnavailablePart struct {
	Part   string `json:"part"`
	Reason string `json:"reason"`
}

// MemberStatus is this daemon's view of another one.
type MemberStatus struct {
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Status        membership.Status   `json:"status"`
	Revisions     config.Revisions    `json:"revisions"`
	// LastSeenAgo is the time since its last heartbeat.
	LastSeenAgo config.Duration `json:"heardAgo"`
}

// statusEndpoint returns the endpoint that reads the status.
func (o ControlOptions) statusEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) {
		return o.status(ctx), nil
	}
}

// status collects the daemon's status.
func (o ControlOptions) status(ctx context.Context) Status {
	status := Status{
		Host: o.Host, Serving: o.Manager.Ready() == nil, Revisions: o.Manager.Revisions(), Freshness: o.Manager.Freshness(),
	}
	if holds := o.Manager.Holds(); holds != nil {
		status.Roster, status.Held = holds.Holds.Roster.Hosts, holds.Holds.Targets
	}
	if o.Members != nil {
		status.Members = memberStatuses(o.Members.Members(), time.Now())
	}
	if o.Orders != nil {
		status.Orders = o.Orders()
	}
	if o.Usage == nil {
		return status
	}
	shards, err := o.Usage(ctx)
	if err != nil {
		status.Missing = append(status.Missing, UnavailablePart{Part: "usage", Reason: err.Error()})
	}
	status.Usage = shards
	return status
}

// memberStatuses converts the members to their statuses.
func memberStatuses(members []membership.Member, now time.Time) []MemberStatus {
	statuses := make([]MemberStatus, 0, len(members))
	for i := range members {
		member := &members[i]
		statuses = append(statuses, MemberStatus{
			Host: member.Host, FailureDomain: member.FailureDomain, Status: member.Status,
			Revisions:   config.Revisions{Config: member.Revision, Holds: member.HoldsRevision},
			LastSeenAgo: config.Duration(now.Sub(member.LastSeenAt).Truncate(time.Millisecond)),
		})
	}
	return statuses
}
