package daemon

import (
	"context"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/operator"
)

// newOperator returns the handler of the operators' address.
func (d *Daemon) newOperator() http.Handler {
	server := operator.New(d.registry, d.ready)
	server.Handle("POST /v1/drain", d.callers.StopEndpoint(), operator.NoRequest)
	server.Handle("GET /v1/drain", d.callers.StatusEndpoint(), operator.NoRequest)
	server.Handle("GET /v1/burn", d.burnReport, operator.NoRequest)
	return server
}

// burnReport is the endpoint of the report on error budgets.
func (d *Daemon) burnReport(ctx context.Context, _ any) (any, error) {
	return d.burn.Report(ctx, time.Now())
}
