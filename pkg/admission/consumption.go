package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Consumption is what a workspace used at the other daemons, as far as this
// one has heard.
type Consumption struct {
	// Requests and Tokens count all that the other daemons admitted. The sums
	// may fall when a daemon is lost; only their rises are charged.
	Requests uint64
	Tokens   uint64
	// Running counts the requests that run now.
	Running int
	// Age is how old the oldest part of the figures is.
	Age time.Duration
}

// Elsewhere tells what workspaces use at the other daemons.
type Elsewhere interface {
	// Consumption returns what the workspace used elsewhere.
	Consumption(workspace ident.Workspace) Consumption
	// Daemons returns how many other daemons are alive.
	Daemons() int
}

// Alone is the Elsewhere of a fleet of one daemon.
type Alone struct{}

var _ Elsewhere = Alone{}

// Consumption returns nothing.
func (Alone) Consumption(ident.Workspace) Consumption { return Consumption{} }

// Daemons returns zero.
func (Alone) Daemons() int { return 0 }
