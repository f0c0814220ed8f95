package daemon

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/orders"
)

// rosterEvery is the time between looks at the platform's list of hosts.
const rosterEvery = time.Second

// newControl makes what follows the control state.
func (d *Daemon) newControl() {
	d.config = config.NewManager(config.Options{
		Host: d.opts.Host, Store: d.opts.Store, Mesh: d.links, View: d.members, Clock: clock.Boot{},
		Log: d.opts.Log, Registerer: d.registry, Random: newRandom(),
	})
	d.acceptance = config.NewAcceptance(d.config)
}

// rosterKeeper returns the work of keeping the roster.
func (d *Daemon) rosterKeeper() *config.RosterKeeper {
	return &config.RosterKeeper{
		Manager: d.config, Acceptance: d.acceptance, Hosts: d.opts.Hosts, Log: d.opts.Log, Every: rosterEvery,
	}
}

// holds tells the order executor which holds are in force.
type holds struct {
	acceptance *config.Acceptance
}

var _ orders.HoldAcceptance = holds{}

// holdsTimeout bounds one question.
const holdsTimeout = 2 * time.Second

// HoldsInForce reports whether every daemon that serves keeps to the holds of
// the revision. A question that can't be answered counts as no.
func (h holds) HoldsInForce(revision ident.Revision) bool {
	ctx, cancel := context.WithTimeout(context.Background(), holdsTimeout)
	defer cancel()
	inForce, err := h.acceptance.HoldsAccepted(ctx, revision)
	return err == nil && inForce
}
