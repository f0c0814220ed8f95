package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

const (
	// usageWindowInterval is the interval between checks for ended usage windows.
	usageWindowInterval = time.Second
	// sealInterval is the interval between checks for usage sources that have ended.
	sealInterval = time.Second
	// tailRetention is how long a tail, the replicated usage records since a source's
	// last checkpoint, is kept after the source's last message, if the source is not
	// known to have ended.
	tailRetention = time.Hour
)

// newUsage creates the source that meters this daemon's requests and the replica of
// the other daemons' usage tails.
func (d *Daemon) newUsage() {
	d.usageSource = usage.NewSource(usage.SourceOptions{
		Host: d.opts.Host, FailureDomain: d.opts.FailureDomain, Incarnation: d.incarnation, Store: d.opts.Store,
		Mesh: d.links, View: d.members, Knobs: d.usageKnobs, Log: d.opts.Log, Registerer: d.registry,
	})
	d.tails = usage.NewTailReplica(usage.TailReplicaOptions{
		Host: d.opts.Host, Store: d.opts.Store, Mesh: d.links, View: d.members, Log: d.opts.Log,
		CheckInterval: sealInterval, Retention: tailRetention,
	})
}

// usageKnobs returns the current knobs of usage reporting.
func (d *Daemon) usageKnobs() config.UsageKnobs { return d.knobs(config.Selector{}).Usage }

// usageReporter returns the reporter of one shard, one of the usage.Shards groups
// into which the workspaces are divided by hash.
func (d *Daemon) usageReporter(shard int) *usage.Reporter {
	return &usage.Reporter{
		Host: d.opts.Host, Shard: shard, Store: d.opts.Store, Sink: d.opts.Usage, Knobs: d.usageKnobs,
		Log: d.opts.Log, CheckInterval: usageWindowInterval,
	}
}
