package daemon

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/burn"
)

// newBurn makes what counts how requests keep their objectives.
func (d *Daemon) newBurn() {
	d.burn = burn.New(burn.Options{
		Host: d.opts.Host, Incarnation: d.incarnation, Store: d.opts.Store, Config: d.config,
		Log: d.opts.Log, Registerer: d.registry,
	})
}

// burnEndpoint answers with the fleet's burn report.
func (d *Daemon) burnEndpoint(ctx context.Context, _ any) (any, error) {
	return d.burn.Report(ctx, time.Now())
}
