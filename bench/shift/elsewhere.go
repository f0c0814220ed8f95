package shift

import (
	"maps"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// exchangeEvery is the time between the daemons' exchanges of consumption.
const exchangeEvery = time.Second

// elsewhere tells a daemon what the others used, as of the last exchange.
type elsewhere struct {
	daemon *daemon
}

var _ admission.RemoteUsage = (*elsewhere)(nil)

// Consumption returns what the workspace used at the other daemons.
func (e *elsewhere) Consumption(workspace ident.Workspace) admission.Consumption {
	var sum admission.Consumption
	for i, used := range e.daemon.run.exchanged {
		if i == e.daemon.number {
			continue
		}
		part := used[workspace]
		sum.Requests += part.Requests
		sum.Tokens += part.Tokens
		sum.Running += part.Running
	}
	return sum
}

// Daemons returns how many others there are.
func (e *elsewhere) Daemons() int { return daemonCount - 1 }

// exchange takes every daemon's consumption.
func (r *run) exchange() {
	for i, d := range r.daemons {
		copied := make(map[ident.Workspace]admission.Consumption, len(d.used))
		for name, use := range maps.All(d.used) {
			copied[name] = *use
		}
		r.exchanged[i] = copied
	}
}
