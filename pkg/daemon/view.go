package daemon

import (
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
)

// newView creates the dissemination of state between the daemons, and the target
// watcher that shares its view through it.
func (d *Daemon) newView() {
	d.disseminator = dissemination.New(dissemination.Options{
		Links: d.links, Members: d.members, Loaded: d.config.Loaded, Degree: d.opts.PeerDegree,
		Log: d.opts.Log, Registerer: d.registry, Random: newRandom(),
	})
	d.targets = targetwatch.NewShared(targetwatch.Options{
		Self: d.opts.Host, Orderer: d.opts.Targets, Dissemination: d.disseminator, Members: d.members,
		Holds: heldTargets{config: d.config}, Client: &http.Client{Transport: responsecheck.New(&http.Transport{DisableCompression: true})},
		Credential: d.opts.Credential, Events: d.applyCacheEvents, Log: d.opts.Log,
	})
}

// applyCacheEvents passes an engine's cache events to the router.
func (d *Daemon) applyCacheEvents(target ident.Target, events []fleet.CacheEvent) {
	for _, event := range events {
		d.router.Models.ApplyCacheEvent(target, event)
	}
}
