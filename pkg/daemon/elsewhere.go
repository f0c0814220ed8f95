package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// elsewhere tells the limits what workspaces use at other daemons.
type elsewhere struct {
	spread  *dissemination.Manager
	members membership.View
	running *runningShare
}

var _ admission.RemoteUsage = elsewhere{}

// Consumption returns what a workspace used elsewhere.
func (e elsewhere) Consumption(name ident.Workspace) admission.Consumption {
	use := e.spread.Elsewhere(name)
	return admission.Consumption{Requests: use.Requests, Tokens: use.Tokens, Running: e.running.elsewhere(name)}
}

// Daemons returns how many other daemons are alive.
func (e elsewhere) Daemons() int { return len(membership.AliveHosts(e.members.Members())) }

// runningEvery is the time between publications of running requests.
const runningEvery = 250 * time.Millisecond
