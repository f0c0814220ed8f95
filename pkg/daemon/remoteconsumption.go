package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// remoteConsumption reports to admission what workspaces consume on other daemons.
type remoteConsumption struct {
	disseminator *dissemination.Manager
	members      membership.View
	running      *runningCounts
}

var _ admission.RemoteConsumption = remoteConsumption{}

// Consumption returns what a workspace consumed on other daemons.
func (r remoteConsumption) Consumption(name ident.Workspace) admission.Consumption {
	consumed := r.disseminator.RemoteConsumption(name)
	return admission.Consumption{Requests: consumed.Requests, Tokens: consumed.Tokens, Running: r.running.remoteRunning(name)}
}

// Daemons returns how many other daemons are alive.
func (r remoteConsumption) Daemons() int { return len(membership.AliveHosts(r.members.Members())) }

// runningCountsInterval is the interval between publications of the counts of
// running requests.
const runningCountsInterval = 250 * time.Millisecond
