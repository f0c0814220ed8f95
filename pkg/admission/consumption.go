package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Consumption is what a workspace used at the other daemons, according to the
// latest reports.
type Consumption struct {
	// Requests and Tokens are the totals that the other daemons admitted. The
	// totals may decrease when a daemon is lost; only increases are charged.
	Requests uint64
	Tokens   uint64
	// Running is the number of requests running at the other daemons.
	Running int
	// Age is the age of the oldest report that the figures include.
	Age time.Duration
}

// RemoteConsumption reports what workspaces use at the other daemons.
type RemoteConsumption interface {
	// Consumption returns what the workspace used at the other daemons.
	Consumption(workspace ident.Workspace) Consumption
	// Daemons returns the number of other daemons that are alive.
	Daemons() int
}

// SingleDaemon is the RemoteConsumption of a fleet with a single daemon.
type SingleDaemon struct{}

var _ RemoteConsumption = SingleDaemon{}

// Consumption returns zero consumption.
func (SingleDaemon) Consumption(ident.Workspace) Consumption { return Consumption{} }

// Daemons returns zero.
func (SingleDaemon) Daemons() int { return 0 }
