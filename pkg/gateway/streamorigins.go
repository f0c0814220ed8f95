package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/streamorigin"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

const (
	// defaultStreamTime is how long streams last at most if no route has a timeout.
	defaultStreamTime = 30 * time.Second
	// maxStreamTime bounds how long the beginnings of streams are remembered.
	maxStreamTime = 2 * time.Minute
)

// streamOrigins are the components that know which software versions began streams.
type streamOrigins struct {
	table    *streamorigin.Table
	exchange *streamorigin.Exchange
	records  *streamorigin.Records
	copy     *streamorigin.StoreCopy
}

// newStreamOrigins creates the components. runLinks adds the links later.
func (g *Gateway) newStreamOrigins() streamOrigins {
	o := streamOrigins{exchange: streamorigin.NewExchange(g.opts.Log)}
	o.table = streamorigin.New(streamorigin.Options{
		View: g.targets, Now: bootTime, Retention: g.longestTimeout, Age: g.storeAge, Ask: o.exchange.Ask,
		Log: g.opts.Log, Registerer: g.registry,
	})
	o.records = streamorigin.NewRecords(o.table, streamorigin.RecordOptions{
		Self: g.opts.Host, Store: g.opts.Store, Hosts: g.presentHosts, Log: g.opts.Log,
		Pools: g.resumablePools, TracePrefix: tally.CheckpointPrefix, HasRequests: hasRequests,
	})
	o.copy = streamorigin.NewStoreCopy(o.table, streamorigin.CopyOptions{
		Self: g.opts.Host, Store: g.opts.Store, Daemons: g.presence.Daemons, Log: g.opts.Log,
	})
	return o
}

// hasRequests reports whether a usage checkpoint counts requests. One that can't be read may.
func hasRequests(value []byte) bool {
	checkpoint, err := tally.DecodeCheckpoint(value)
	if err != nil {
		return true
	}
	for _, counts := range checkpoint.Windows {
		if len(counts) > 0 {
			return true
		}
	}
	return false
}

// storeAge returns an upper bound of the age of what was read from the store, or false before
// the first read.
func (g *Gateway) storeAge() (time.Duration, bool) { return g.mirror.Age() }

// run runs the components until ctx ends.
func (o *streamOrigins) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.table.Run(ctx) })
	group.Go(func() error { return o.records.Run(ctx) })
	group.Go(func() error { return o.copy.Run(ctx) })
	return group.Wait()
}

// bootTime returns the time since the host's boot as a time. Unlike the steady clock's it
// runs while the host is suspended.
func bootTime() time.Time { return time.Unix(0, int64(clock.Boot{}.Now())) }

// resumablePools returns the models and services whose streams callers may take up again.
func (g *Gateway) resumablePools() (pools []ident.Pool) {
	snapshot := g.opts.Published.Current()
	if snapshot == nil {
		return nil
	}
	for i := range snapshot.Document.Routes {
		if route := &snapshot.Document.Routes[i]; route.Resumable {
			pools = append(pools, route.Pools()...)
		}
	}
	return pools
}

// longestTimeout returns the longest timeout of a route, within bounds.
func (g *Gateway) longestTimeout() time.Duration {
	longest := time.Duration(0)
	if snapshot := g.opts.Published.Current(); snapshot != nil {
		for i := range snapshot.Document.Routes {
			longest = max(longest, snapshot.Document.Routes[i].Timeout.D())
		}
	}
	if longest == 0 {
		longest = defaultStreamTime
	}
	return min(longest, maxStreamTime)
}
