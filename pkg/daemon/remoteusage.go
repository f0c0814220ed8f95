package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// remoteUsage reports to admission what workspaces consume on other daemons.
type remoteUsage struct {
	disseminator *dissemination.Manager
	members      membership.View
	running      *runningCounts
}

var _ admission.RemoteUsage = remoteUsage{}

// Consumption returns what a workspace consumed on other daemons.
func (u remoteUsage) Consumption(name ident.Workspace) admission.Consumption {
	use := u.disseminator.Elsewhere(name)
	return admission.Consumption{Requests: use.Requests, Tokens: use.Tokens, Running: u.running.remoteRunning(name)}
}

// Daemons returns how many other daemons are alive.
func (u remoteUsage) Daemons() int { return len(membership.AliveHosts(u.members.Members())) }

// runningCountsInterval is the interval between publications of the counts of
// running requests.
const runningCountsInterval = 250 * time.Millisecond
