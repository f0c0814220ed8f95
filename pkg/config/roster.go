package config

import (
	"slices"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// Roster lists the hosts whose majority accepts a change. Two rosters that
// follow each other differ by one host, so that their majorities meet.
type Roster struct {
	Hosts []ident.Host `json:"hosts"`
	// Former is the roster before, whose majority is asked as well.
	Former []ident.Host `json:"former,omitempty"`
}

// Empty reports whether no roster was written yet.
func (r *Roster) Empty() bool { return len(r.Hosts) == 0 }

// majorityOf returns how many of n hosts are a majority.
func majorityOf(n int) int { return n/2 + 1 }

// Loaded says which control state a host has loaded.
type Loaded struct {
	Host      ident.Host
	Revisions Revisions
}

// Accepts reports whether majorities of the roster and of the one before have
// loaded the revisions.
func (r *Roster) Accepts(loaded []Loaded, wanted Revisions) bool {
	return hasMajority(r.Hosts, loaded, wanted) && (len(r.Former) == 0 || hasMajority(r.Former, loaded, wanted))
}

// hasMajority reports whether more than half of the hosts have loaded the
// revisions. No hosts have none.
func hasMajority(hosts []ident.Host, loaded []Loaded, wanted Revisions) bool {
	count := 0
	for _, l := range loaded {
		if l.Revisions.Covers(wanted) && slices.Contains(hosts, l.Host) {
			count++
		}
	}
	return len(hosts) > 0 && count >= majorityOf(len(hosts))
}

// NextRoster returns the roster that should follow the current one, or false
// where it should stay. The first roster is the platform's list; later ones
// add or remove one host at a time. A host is added once it has loaded the
// control state, and removed once the platform no longer lists it and the
// other daemons hold it for gone.
func NextRoster(current Roster, listed []external.HostRecord, members []membership.Member) (Roster, bool) {
	if len(listed) == 0 {
		return current, false
	}
	if current.Empty() {
		return Roster{Hosts: stayingHosts(listed)}, true
	}
	known := make(map[ident.Host]membership.Member, len(members))
	for _, member := range members {
		known[member.Host] = member
	}
	staying := stayingHosts(listed)
	if next, ok := withoutGone(current, staying, known); ok {
		return next, true
	}
	return withNew(current, staying, known)
}

// withoutGone removes the first host that is gone. The last host stays.
func withoutGone(current Roster, staying []ident.Host, known map[ident.Host]membership.Member) (Roster, bool) {
	for i, host := range current.Hosts {
		if !slices.Contains(staying, host) && gone(known, host) && len(current.Hosts) > 1 {
			return Roster{Hosts: slices.Delete(slices.Clone(current.Hosts), i, i+1), Former: current.Hosts}, true
		}
	}
	return current, false
}

// withNew adds the first host that is alive and has loaded the control state.
func withNew(current Roster, staying []ident.Host, known map[ident.Host]membership.Member) (Roster, bool) {
	for _, host := range staying {
		member, ok := known[host]
		if ok && member.Status == membership.Alive && member.Revision != 0 && !slices.Contains(current.Hosts, host) {
			next := append(slices.Clone(current.Hosts), host)
			slices.Sort(next)
			return Roster{Hosts: next, Former: current.Hosts}, true
		}
	}
	return current, false
}

// stayingHosts returns the hosts that the platform does not plan to take away.
func stayingHosts(listed []external.HostRecord) []ident.Host {
	var hosts []ident.Host
	for _, record := range listed {
		if !record.Leaving {
			hosts = append(hosts, record.Host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// gone reports whether no life of the host is known.
func gone(known map[ident.Host]membership.Member, host ident.Host) bool {
	member, ok := known[host]
	return !ok || member.Status == membership.Dead || member.Status == membership.Left
}
