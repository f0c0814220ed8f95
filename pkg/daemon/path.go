package daemon

import (
	"math/rand/v2"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/burn"
	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/kvmove"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// maxBodyBytes bounds the body of a caller's request.
const maxBodyBytes = 8 << 20

// newHandler builds the request path, from admission to relay, and returns its
// HTTP handler.
func (d *Daemon) newHandler() http.Handler {
	d.router = routing.New(routing.Options{
		View: d.targets, Domain: d.opts.FailureDomain, Now: time.Now,
		Knobs:  func() *config.RoutingKnobs { return &d.knobs(config.Selector{}).Routing },
		Random: newRandom(),
		// Members returns the other daemons; the 1 is this one.
		Daemons: func() int { return 1 + len(membership.AliveHosts(d.members.Members())) },
	})
	d.relay = relay.New(relay.Options{
		Router: d.router, Client: target.NewClient(), Config: d.config, Protocol: relay.EngineProtocol{Credential: d.opts.Credential}, MarkComplete: entry.MarkAnswered,
		Log: d.opts.Log, Registerer: d.registry, StreamMover: &kvmove.Mover{
			View: d.targets, Sender: target.NewControl(target.NewClient(), d.opts.Credential), Knobs: d.supplyKnobs,
		},
	})
	d.running = newRunningCounts(d.disseminator, d.opts.Log, d.nearConcurrency)
	admit := &sharedAdmission{disseminator: d.disseminator, running: d.running, inner: admission.NewFairController(admission.Options{
		Gate: d.router, RemoteConsumption: remoteConsumption{disseminator: d.disseminator, members: d.members, running: d.running},
		Now: time.Now, Knobs: d.admissionKnobs, Weight: d.weight,
	})}
	d.claims = claims.New(claims.Options{Store: d.opts.Store, Log: d.opts.Log})
	d.burn = burn.New(burn.Options{
		Host: d.opts.Host, Incarnation: d.incarnation, Store: d.opts.Store, Config: d.config,
		Log: d.opts.Log, Registerer: d.registry,
	})
	return entry.New(entry.Options{
		Config: d.config, Admission: admit, Relay: d.relay, Recorder: d.usageSource,
		Log: d.opts.Log, Registerer: d.registry, Ready: d.checkServing, Claims: d.claims,
		Observer: burn.Observer{Recorder: d.burn}, MaxBodyBytes: maxBodyBytes,
	})
}

// newRandom returns a random source with a random seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// knobs returns the configured knobs for a selector, or the built-in ones before
// the first configuration is loaded.
func (d *Daemon) knobs(selector config.Selector) *config.Knobs {
	snapshot := d.config.Current()
	if snapshot == nil {
		return &d.builtin
	}
	return snapshot.Knobs(selector)
}

// admissionKnobs returns the admission values that apply to a request.
func (d *Daemon) admissionKnobs(req *request.Request) *config.AdmissionKnobs {
	selector := config.Selector{Workspace: req.Workspace, Route: req.Route, Model: req.Model, Service: req.Service}
	return &d.knobs(selector).Admission
}

// nearConcurrency reports whether this daemon's number of running requests is at
// least half of its even share of the workspace's concurrency limit.
func (d *Daemon) nearConcurrency(workspace ident.Workspace, running int) bool {
	daemons := len(membership.AliveHosts(d.members.Members())) + 1
	limit := d.knobs(config.Selector{Workspace: workspace}).Admission.Concurrency
	return running > 0 && int64(running*daemons*2) >= limit
}

// weight returns a workspace's weight. It is 1 if the configuration does not set
// it.
func (d *Daemon) weight(name ident.Workspace) float64 {
	snapshot := d.config.Current()
	if snapshot == nil {
		return 1
	}
	workspace := snapshot.Workspace(name)
	if workspace == nil || workspace.Weight == 0 {
		return 1
	}
	return workspace.Weight
}
