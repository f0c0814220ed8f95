package daemon

import (
	"context"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/operator"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// newOperator returns the handler of the operators' address.
func (d *Daemon) newOperator() http.Handler {
	server := operator.New(d.registry, d.ready)
	server.Handle("POST /v1/drain", d.callers.StopEndpoint(), operator.NoRequest)
	server.Handle("GET /v1/drain", d.callers.StatusEndpoint(), operator.NoRequest)
	server.Handle("GET /v1/burn", d.burnReport, operator.NoRequest)
	server.ServeControl(operator.ControlOptions{
		Host: d.opts.Host, Manager: d.config, Members: d.members, Orders: d.orderStatus,
		Applier: &config.Applier{Manager: d.config, Acceptance: d.acceptance, Poll: acceptPoll, Timeout: acceptTimeout},
		Usage: func(ctx context.Context) ([]usage.ShardStatus, error) {
			return usage.Statuses(ctx, d.opts.Store)
		},
	})
	return server
}

const (
	// acceptPoll is the time between looks at a change's acceptance, and
	// acceptTimeout bounds the wait for it.
	acceptPoll    = 50 * time.Millisecond
	acceptTimeout = 15 * time.Second
	// journalTimeout bounds a read of the orders' journal.
	journalTimeout = 2 * time.Second
)

// orderStatus returns every order of the journal, or those that this daemon
// carries out where the store can't be read.
func (d *Daemon) orderStatus() []orders.OrderStatus {
	ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
	defer cancel()
	list, err := orders.ReadJournal(ctx, d.opts.Store)
	if err != nil {
		return d.engines.Status()
	}
	return list
}

// burnReport is the endpoint of the report on error budgets.
func (d *Daemon) burnReport(ctx context.Context, _ any) (any, error) {
	return d.burn.Report(ctx, time.Now())
}
