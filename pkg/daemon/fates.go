package daemon

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/orders"
)

// fates tells which lives of hosts' processes are known to be over.
type fates struct {
	members membership.View
}

var _ orders.ProcessFate = fates{}

// Gone reports whether the life said that it stops, or a later one of the same
// host was heard of. A host that is merely silent is not gone.
func (f fates) Gone(host ident.Host, incarnation ident.Incarnation) bool {
	for _, member := range f.members.Members() {
		if member.Host != host {
			continue
		}
		if member.Incarnation > incarnation {
			return true
		}
		return member.Incarnation == incarnation && member.Status == membership.Left
	}
	return false
}
