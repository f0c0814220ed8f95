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
	// fatesEvery is the least time between reads of the platform's list.
	fatesEvery = 5 * time.Second
	// fatesTimeout bounds one read.
	fatesTimeout = 2 * time.Second
)

// fates tells which lives of hosts' processes are known to be over.
type fates struct {
	members membership.View
	hosts   external.HostList

	mu sync.Mutex
	// seen are the hosts that were ever listed, listed those of the last read.
	seen   map[ident.Host]bool
	listed map[ident.Host]bool
	readAt time.Time
}

var _ orders.TerminationDetector = (*fates)(nil)

// newFates returns fates that know of no host.
func newFates(members membership.View, hosts external.HostList) *fates {
	return &fates{members: members, hosts: hosts, seen: make(map[ident.Host]bool)}
}

// Gone reports whether the life said that it stops, a later one of the same host
// was heard of, or the platform has taken the host off its list. A host that is
// merely silent is not gone.
func (f *fates) Gone(host ident.Host, incarnation ident.Incarnation) bool {
	for _, member := range f.members.Members() {
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
	return f.delisted(host)
}

// delisted reports whether the host was listed once and is not in the newest
// list.
func (f *fates) delisted(host ident.Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.readAt) >= fatesEvery {
		f.read()
	}
	return f.seen[host] && !f.listed[host]
}

// read takes in the platform's list; f.mu is held. Where it can't be read, the
// old list stays.
func (f *fates) read() {
	f.readAt = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), fatesTimeout)
	defer cancel()
	records, err := f.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	f.listed = make(map[ident.Host]bool, len(records))
	for i := range records {
		f.listed[records[i].Host] = true
		f.seen[records[i].Host] = true
	}
}
