package shift

import (
	"maps"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// exchangeInterval is the time between the daemons' exchanges of consumption.
const exchangeInterval = time.Second

// remoteConsumption provides a daemon with the consumption at the other daemons, as
// of the last exchange.
type remoteConsumption struct {
	daemon *daemon
}

var _ admission.RemoteConsumption = (*remoteConsumption)(nil)

// Consumption returns a workspace's consumption at the other daemons.
func (c *remoteConsumption) Consumption(workspace ident.Workspace) admission.Consumption {
	var sum admission.Consumption
	for i, consumed := range c.daemon.run.exchanged {
		if i == c.daemon.number {
			continue
		}
		usage := consumed[workspace]
		sum.Requests += usage.Requests
		sum.Tokens += usage.Tokens
		sum.Running += usage.Running
	}
	return sum
}

// Daemons returns the number of other daemons.
func (c *remoteConsumption) Daemons() int { return daemonCount - 1 }

// exchangeConsumption copies every daemon's consumption for the others to read.
func (r *run) exchangeConsumption() {
	for i, d := range r.daemons {
		copied := make(map[ident.Workspace]admission.Consumption, len(d.consumption))
		for name, consumed := range maps.All(d.consumption) {
			copied[name] = *consumed
		}
		r.exchanged[i] = copied
	}
}
