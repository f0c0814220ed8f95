package quota

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/rendezvous"
)

// keeperCount is the number of keepers of a workspace. If one fails, half of the rate is
// still granted.
const keeperCount = 2

// keepersOf returns the keepers of a workspace among hosts, in the order of their ranks.
func keepersOf(workspace ident.Workspace, hosts []ident.Host) []ident.Host {
	var keepers []ident.Host
	for range min(keeperCount, len(hosts)) {
		best, bestWeight := ident.Host(""), uint64(0)
		for _, host := range hosts {
			weight := rendezvous.Weight("quota/"+string(workspace), host)
			better := best == "" || cmp.Or(cmp.Compare(weight, bestWeight), cmp.Compare(host, best)) > 0
			if better && !slices.Contains(keepers, host) {
				best, bestWeight = host, weight
			}
		}
		keepers = append(keepers, best)
	}
	return keepers
}

// hostView holds the present hosts, this one included, and those of the last settleTime.
type hostView struct {
	self       ident.Host
	settleTime time.Duration
	present    *rankedHosts
	// version counts the changes, and changedAt is when the last one was seen.
	version   int
	changedAt time.Time
	// earlier are the hosts before each change of the last settleTime.
	earlier []*rankedHosts
}

// rankedHosts are hosts, with the keepers among them.
type rankedHosts struct {
	hosts []ident.Host
	// until is when the hosts were no longer those that are present.
	until time.Time
	// keepers holds the keepers of the workspaces for which they were computed.
	keepers map[ident.Workspace][]ident.Host
}

// keepersOf returns the keepers of a workspace.
func (r *rankedHosts) keepersOf(workspace ident.Workspace) []ident.Host {
	keepers, known := r.keepers[workspace]
	if !known {
		keepers = keepersOf(workspace, r.hosts)
		r.keepers[workspace] = keepers
	}
	return keepers
}

// update records the hosts of the other daemons that are present.
func (v *hostView) update(others []ident.Host, now time.Time) {
	hosts := append(slices.Clone(others), v.self)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	v.earlier = slices.DeleteFunc(v.earlier, func(e *rankedHosts) bool { return now.Sub(e.until) >= v.settleTime })
	if v.present != nil {
		if slices.Equal(hosts, v.present.hosts) {
			return
		}
		v.present.until = now
		v.earlier = append(v.earlier, v.present)
	}
	v.present = &rankedHosts{hosts: hosts, keepers: make(map[ident.Workspace][]ident.Host)}
	v.changedAt = now
	v.version++
}

// count returns the number of present hosts.
func (v *hostView) count() int { return len(v.present.hosts) }

// settled reports whether this host is a keeper of the workspace and has been one for
// settleTime. Until then, daemons with an older view may use another keeper.
func (v *hostView) settled(workspace ident.Workspace, now time.Time) bool {
	if !slices.Contains(v.present.keepersOf(workspace), v.self) {
		return false
	}
	for _, e := range v.earlier {
		if now.Sub(e.until) < v.settleTime && !slices.Contains(e.keepersOf(workspace), v.self) {
			return false
		}
	}
	return true
}
