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

// newOperator returns the handler of the operator API.
func (d *Daemon) newOperator() http.Handler {
	server := operator.New(d.registry, d.checkReady)
	server.Handle("POST /v1/drain", d.callers.StopEndpoint(), operator.DecodeEmptyRequest)
	server.Handle("GET /v1/drain", d.callers.StatusEndpoint(), operator.DecodeEmptyRequest)
	server.Handle("GET /v1/burn", d.burnReport, operator.DecodeEmptyRequest)
	server.ServeControl(operator.ControlOptions{
		Host: d.opts.Host, Manager: d.config, Members: d.members, Orders: d.orderStatus,
		Applier: &config.Applier{Manager: d.config, Acceptance: d.acceptance, PollInterval: acceptancePollInterval, Timeout: acceptanceTimeout},
		Usage: func(ctx context.Context) ([]usage.ShardStatus, error) {
			return usage.ReadShardStatuses(ctx, d.opts.Store)
		},
	})
	return server
}

const (
	// acceptancePollInterval is the interval between checks whether a
	// configuration change is accepted, and acceptanceTimeout bounds the wait.
	acceptancePollInterval = 50 * time.Millisecond
	acceptanceTimeout      = 15 * time.Second
	// journalTimeout bounds a read of the order journal.
	journalTimeout = 2 * time.Second
)

// orderStatus returns every order of the journal. If the store can't be read, it
// returns only the orders that this daemon carries out.
func (d *Daemon) orderStatus() []orders.OrderStatus {
	ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
	defer cancel()
	list, err := orders.ReadJournal(ctx, d.opts.Store)
	if err != nil {
		return d.engines.Status()
	}
	return list
}

// burnReport is the endpoint that reports the error budget burn.
func (d *Daemon) burnReport(ctx context.Context, _ any) (any, error) {
	return d.burn.Report(ctx, time.Now())
}
