package usage

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// CloserOptions are what a Closer works on.
type CloserOptions struct {
	Meter *Meter
	Store platform.Store
	Sink  platform.UsageSink
	Log   *slog.Logger
	// Shard names the part of the usage that this closer reports.
	Shard ident.Duty
	// Grace is how long after its end a window is closed.
	Grace time.Duration
	// Every is the time between looks for ended windows.
	Every time.Duration
}

// Closer freezes the figures of ended windows in the store and reports them.
type Closer struct {
	opts CloserOptions
}

// NewCloser returns a closer.
func NewCloser(opts CloserOptions) *Closer { return &Closer{opts: opts} }

// Run closes windows until ctx ends.
func (c *Closer) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.closeEnded(ctx)
		}
	}
}

// closeEnded freezes and reports every window whose grace is over.
func (c *Closer) closeEnded(ctx context.Context) {
	for window, lines := range c.opts.Meter.Take(time.Now().Add(-c.opts.Grace)) {
		report := platform.UsageReport{Window: window, Shard: c.opts.Shard, Lines: lines}
		if err := c.freeze(ctx, report); err != nil {
			c.opts.Log.Error("usage window not frozen", "window", window, "error", err)
			continue
		}
		if err := c.opts.Sink.Report(ctx, report); err != nil {
			c.opts.Log.Error("usage window not reported", "window", window, "error", err)
			continue
		}
		c.opts.Log.Info("usage window reported", "window", window, "lines", len(lines))
	}
}

// freeze writes the window's figures once.
func (c *Closer) freeze(ctx context.Context, report platform.UsageReport) error {
	value, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode the window")
	}
	key := platform.Key("usage/frozen/" + string(c.opts.Shard) + "/" + report.Window.Format(time.RFC3339Nano))
	_, err = c.opts.Store.CompareAndSwap(ctx, platform.Swap{Key: key, Base: platform.NoVersion, Value: value})
	return err
}
