package targetlimit

import (
	"maps"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// hostRetention is how long a host that has disappeared keeps its seats: it may be cut
// off and serve on, and regions can lose each other for minutes.
const hostRetention = 10 * time.Minute

// hostMemory holds the hosts that may send to targets: those that are present and those
// that were within hostRetention.
type hostMemory struct {
	seenAt map[ident.Host]time.Time
	// hosts are the sorted hosts, and version counts their changes.
	hosts   []ident.Host
	version int
}

// update records the hosts that are present.
func (m *hostMemory) update(present []ident.Host, now time.Time) {
	for _, host := range present {
		m.seenAt[host] = now
	}
	maps.DeleteFunc(m.seenAt, func(_ ident.Host, seenAt time.Time) bool { return now.Sub(seenAt) > hostRetention })
	hosts := slices.Sorted(maps.Keys(m.seenAt))
	if !slices.Equal(hosts, m.hosts) {
		m.hosts = hosts
		m.version++
	}
}
