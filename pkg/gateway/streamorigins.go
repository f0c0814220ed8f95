package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/streamorigin"
	"amaranthplank.example/amaranthplank/pkg/tally"
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
		View: g.targets, Now: bootTime, Retention: func() time.Duration { return g.resumable().takeUpTime }, Age: g.storeAge, Ask: o.exchange.Ask,
		Log: g.opts.Log, Registerer: g.registry,
	})
	o.records = streamorigin.NewRecords(o.table, streamorigin.RecordOptions{
		Self: g.opts.Host, Store: g.opts.Store, Hosts: g.presentHosts, Log: g.opts.Log,
		Pools: func() []ident.Pool { return g.resumable().pools }, TracePrefix: tally.CheckpointPrefix, HasRequests: hasRequests,
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

// resumable is what a configuration states of streams that callers may take up again.
type resumable struct {
	snapshot *config.Snapshot
	// pools are the models and services of the streams.
	pools []ident.Pool
	// takeUpTime is how long after its beginning a caller may take a stream up: as long as
	// the longest timeout lets it run, and as long after that as callers of the route wait for
	// the next event.
	takeUpTime time.Duration
}

// resumable returns what the configuration in force states, which is nothing until one is
// loaded. It is computed once for each configuration.
func (g *Gateway) resumable() *resumable {
	snapshot := g.opts.Published.Current()
	if known := g.resumables.Load(); known != nil && known.snapshot == snapshot {
		return known
	}
	found := &resumable{snapshot: snapshot}
	if snapshot != nil {
		found.read(snapshot)
	}
	g.resumables.Store(found)
	return found
}

// read sets the pools and the time from the routes of a configuration.
func (r *resumable) read(snapshot *config.Snapshot) {
	for i := range snapshot.Document.Routes {
		route := &snapshot.Document.Routes[i]
		if !route.Resumable {
			continue
		}
		timeout := route.Timeout.D()
		if timeout == 0 {
			timeout = snapshot.Knobs(config.Selector{Route: route.Name}).Retry.MaxTimeout.D()
		}
		r.takeUpTime = max(r.takeUpTime, timeout+patience(route))
		r.pools = append(r.pools, route.Pools()...)
	}
}

const (
	// minPatience, firstPartPatience and gapPatience define how long callers wait for the
	// next event of a stream before they abandon it: minPatience, or the given multiple of
	// the route's desired time to the first part or between two events.
	minPatience       = 2 * time.Second
	firstPartPatience = 4
	gapPatience       = 8
)

// patience returns how long the callers of a route wait for the next event of a stream.
func patience(route *config.Route) time.Duration {
	return max(minPatience, firstPartPatience*route.FirstPart.D(), gapPatience*route.TokenGap.D())
}
