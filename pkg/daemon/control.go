package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
)

// rosterInterval is the interval between reads of the platform's host list.
const rosterInterval = time.Second

// newControlState creates the manager that keeps the configuration and the holds up to
// date, and the tracker of which hosts accepted a change. The holds are what the
// daemons themselves write: the targets that get no new work, and the roster.
func (d *Daemon) newControlState() {
	d.config = config.NewManager(config.Options{
		Host: d.opts.Host, Store: d.opts.Store, Mesh: d.links, View: d.members, Clock: clock.Boot{},
		Log: d.opts.Log, Registerer: d.registry, Random: newRandom(),
	})
	d.acceptance = config.NewAcceptance(d.config)
}

// rosterKeeper returns the keeper that updates the roster, the list of hosts of which a
// majority must load a change for it to be accepted, from the platform's host list.
func (d *Daemon) rosterKeeper() *config.RosterKeeper {
	return &config.RosterKeeper{
		Manager: d.config, Acceptance: d.acceptance, Hosts: d.opts.Hosts, Log: d.opts.Log, StepInterval: rosterInterval,
	}
}

// heldTargets supplies the target watcher with the holds, and so with the targets
// that get no new work.
type heldTargets struct {
	config *config.Manager
}

var _ targetwatch.HoldSource = heldTargets{}

// CurrentHolds returns the current holds, or nil before the first were loaded.
func (h heldTargets) CurrentHolds() *config.Holds {
	snapshot := h.config.Holds()
	if snapshot == nil {
		return nil
	}
	return &snapshot.Holds
}
