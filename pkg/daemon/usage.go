package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

const (
	// windowsEvery is the time between looks for ended usage windows.
	windowsEvery = time.Second
	// sealEvery is the time between looks for daemons that ended.
	sealEvery = time.Second
	// tailKept is how long a silent daemon's tail is kept.
	tailKept = time.Hour
)

// newUsage makes what meters requests and what keeps other daemons' tails.
func (d *Daemon) newUsage() {
	d.meter = usage.NewSource(usage.SourceOptions{
		Host: d.opts.Host, FailureDomain: d.opts.FailureDomain, Incarnation: d.incarnation, Store: d.opts.Store,
		Mesh: d.links, View: d.members, Knobs: d.usageKnobs, Log: d.opts.Log, Registerer: d.registry,
	})
	d.tails = usage.NewTailReplica(usage.TailReplicaOptions{
		Host: d.opts.Host, Store: d.opts.Store, Mesh: d.links, View: d.members, Log: d.opts.Log,
		Every: sealEvery, KeepFor: tailKept,
	})
}

// usageKnobs returns the knobs in force.
func (d *Daemon) usageKnobs() config.UsageKnobs { return d.knobs(config.Selector{}).Usage }

// usageReporter returns the work of reporting one shard.
func (d *Daemon) usageReporter(shard int) *usage.Reporter {
	return &usage.Reporter{
		Host: d.opts.Host, Shard: shard, Store: d.opts.Store, Sink: d.opts.Usage, Knobs: d.usageKnobs,
		Log: d.opts.Log, Every: windowsEvery,
	}
}
