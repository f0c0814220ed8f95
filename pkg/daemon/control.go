package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
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

// heldTargets tells the view of the targets which get no new work.
type heldTargets struct {
	config *config.Manager
}

var _ targetwatch.HoldSource = heldTargets{}

// CurrentHolds returns the holds in force, or nil before the first.
func (h heldTargets) CurrentHolds() *config.Holds {
	snapshot := h.config.Holds()
	if snapshot == nil {
		return nil
	}
	return &snapshot.Holds
}
