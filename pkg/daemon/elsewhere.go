package daemon

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// The sums of a workspace stand apart in the dissemination's ledger by a prefix
// of its name.
const (
	requestSums = "r/"
	tokenSums   = "t/"
)

// elsewhere tells the limits what workspaces use at other daemons.
type elsewhere struct {
	spread  *dissemination.Manager
	members membership.View
	running *runningShare
}

var _ admission.Elsewhere = elsewhere{}

// Consumption returns what a workspace used elsewhere.
func (e elsewhere) Consumption(name ident.Workspace) admission.Consumption {
	return admission.Consumption{
		Requests: e.spread.Elsewhere(requestSums + name),
		Tokens:   e.spread.Elsewhere(tokenSums + name),
		Running:  e.running.elsewhere(name),
	}
}

// Daemons returns how many other daemons are alive.
func (e elsewhere) Daemons() int { return len(membership.AliveHosts(e.members.Members())) }

// runningEvery is the time between publications of running requests.
const runningEvery = 250 * time.Millisecond
