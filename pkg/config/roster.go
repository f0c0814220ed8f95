package config

import (
	"slices"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// Roster is the list of hosts of which a majority must load a change for it to be
// accepted. Successive rosters differ by one host, so that any majority of one
// intersects any majority of the other.
type Roster struct {
	Hosts []ident.Host `json:"hosts"`
	// Former is the previous roster, of which a majority is required as well.
	Former []ident.Host `json:"former,omitempty"`
}

// Empty reports whether the roster has no hosts, that is, none was written yet.
func (r *Roster) Empty() bool { return len(r.Hosts) == 0 }

// majorityOf returns how many of n hosts form a majority.
func majorityOf(n int) int { return n/2 + 1 }

// HostRevisions holds the revisions that a host has loaded.
type HostRevisions struct {
	Host      ident.Host
	Revisions Revisions
}

// Accepts reports whether majorities of both the roster and the previous one have
// loaded the revisions.
func (r *Roster) Accepts(loaded []HostRevisions, wanted Revisions) bool {
	return hasMajority(r.Hosts, loaded, wanted) && (len(r.Former) == 0 || hasMajority(r.Former, loaded, wanted))
}

// hasMajority reports whether more than half of the hosts have loaded the
// revisions. It is false for an empty list.
func hasMajority(hosts []ident.Host, loaded []HostRevisions, wanted Revisions) bool {
	count := 0
	for _, l := range loaded {
		if l.Revisions.Covers(wanted) && slices.Contains(hosts, l.Host) {
			count++
		}
	}
	return len(hosts) > 0 && count >= majorityOf(len(hosts))
}

// NextRoster returns the roster that should replace the current one, or false if
// it should stay. The first roster is the platform's list; later ones add or
// remove one host at a time. A host is added once it is alive and has loaded the
// control state. It is removed once the platform no longer lists it or lists it
// as leaving, and it is dead, has left or is unknown to the membership.
func NextRoster(current Roster, listed []external.HostRecord, members []membership.Member) (Roster, bool) {
	if len(listed) == 0 {
		return current, false
	}
	if current.Empty() {
		return Roster{Hosts: retainedHosts(listed)}, true
	}
	known := make(map[ident.Host]membership.Member, len(members))
	for _, member := range members {
		known[member.Host] = member
	}
	staying := retainedHosts(listed)
	if next, ok := removeGone(current, staying, known); ok {
		return next, true
	}
	return addReady(current, staying, known)
}

// removeGone removes the first host that is gone, but never the last host.
func removeGone(current Roster, staying []ident.Host, known map[ident.Host]membership.Member) (Roster, bool) {
	for i, host := range current.Hosts {
		if !slices.Contains(staying, host) && isGone(known, host) && len(current.Hosts) > 1 {
			return Roster{Hosts: slices.Delete(slices.Clone(current.Hosts), i, i+1), Former: current.Hosts}, true
		}
	}
	return current, false
}

// addReady adds the first new host that is alive and has loaded the control
// state.
func addReady(current Roster, staying []ident.Host, known map[ident.Host]membership.Member) (Roster, bool) {
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

// retainedHosts returns the listed hosts that are not leaving, sorted.
func retainedHosts(listed []external.HostRecord) []ident.Host {
	var hosts []ident.Host
	for _, record := range listed {
		if !record.Leaving {
			hosts = append(hosts, record.Host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// isGone reports whether the host is unknown, dead or has left.
func isGone(known map[ident.Host]membership.Member, host ident.Host) bool {
	member, ok := known[host]
	return !ok || member.Status == membership.Dead || member.Status == membership.Left
}
