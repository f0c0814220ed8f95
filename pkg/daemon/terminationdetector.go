package daemon

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/orders"
)

const (
	// hostListInterval is the minimum interval between reads of the platform's host
	// list.
	hostListInterval = 5 * time.Second
	// hostListTimeout bounds one read of the host list.
	hostListTimeout = 2 * time.Second
)

// terminationDetector reports which incarnations of hosts' processes are known to
// have ended.
type terminationDetector struct {
	members membership.View
	hosts   external.HostList

	mu sync.Mutex
	// everListed holds every host that was ever listed; listed holds the hosts of
	// the last successful read.
	everListed map[ident.Host]bool
	listed     map[ident.Host]bool
	readAt     time.Time
}

var _ orders.TerminationDetector = (*terminationDetector)(nil)

// newTerminationDetector returns a detector that has not read the host list yet.
func newTerminationDetector(members membership.View, hosts external.HostList) *terminationDetector {
	return &terminationDetector{members: members, hosts: hosts, everListed: make(map[ident.Host]bool)}
}

// Ended reports whether the incarnation left the membership, a later incarnation of
// the same host was observed, or the platform has removed the host from its list.
// A host that is merely silent has not ended.
func (d *terminationDetector) Ended(host ident.Host, incarnation ident.Incarnation) bool {
	for _, member := range d.members.Members() {
		if member.Host != host {
			continue
		}
		if member.Incarnation > incarnation {
			return true
		}
		if member.Incarnation == incarnation && member.Status == membership.Left {
			return true
		}
	}
	return d.delisted(host)
}

// delisted reports whether the host was listed earlier and is missing from the
// latest list.
func (d *terminationDetector) delisted(host ident.Host) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.readAt) >= hostListInterval {
		d.readHostList()
	}
	return d.everListed[host] && !d.listed[host]
}

// readHostList reads the platform's host list. The caller holds mu. If the read
// fails, the previous list is kept.
func (d *terminationDetector) readHostList() {
	d.readAt = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), hostListTimeout)
	defer cancel()
	records, err := d.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	d.listed = make(map[ident.Host]bool, len(records))
	for i := range records {
		d.listed[records[i].Host] = true
		d.everListed[records[i].Host] = true
	}
}
