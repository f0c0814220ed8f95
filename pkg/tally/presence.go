package tally

import (
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// presentFor is how long after its last checkpoint a daemon counts as there.
const presentFor = 6 * time.Second

// Presence tells which other daemons there are, by their checkpoints.
type Presence struct {
	self ident.Host

	mu    sync.Mutex
	hosts map[external.Key]membership.Member
	// outage says that the store can't be read, so that nothing grows old.
	outage bool
}

var _ membership.View = (*Presence)(nil)

// NewPresence returns a presence that knows of no other daemon.
func NewPresence(self ident.Host) *Presence {
	return &Presence{self: self, hosts: make(map[external.Key]membership.Member)}
}

// Follows reports whether a key is a checkpoint.
func (p *Presence) Follows(key external.Key) bool { return IsCheckpoint(key) }

// Outage notes when the store can't be read and when it can again.
func (p *Presence) Outage(_, ended time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = ended.IsZero()
	for key, member := range p.hosts {
		member.HeardAt = time.Now()
		p.hosts[key] = member
	}
}

// Apply takes in changed checkpoints.
func (p *Presence) Apply(entries []external.Entry, whole bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		clear(p.hosts)
	}
	for i := range entries {
		checkpoint, err := DecodeCheckpoint(entries[i].Value)
		if entries[i].Deleted || err != nil || checkpoint.Left {
			delete(p.hosts, entries[i].Key)
			continue
		}
		p.hosts[entries[i].Key] = membership.Member{
			Host: checkpoint.Host, FailureDomain: checkpoint.FailureDomain, Incarnation: checkpoint.Incarnation,
			Status: membership.Alive, HeardAt: now, Address: checkpoint.Address,
		}
	}
}

// Members returns the other daemons that are there, each once.
func (p *Presence) Members() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := make(map[ident.Host]membership.Member)
	now := time.Now()
	for _, member := range p.hosts {
		if member.Host == p.self || (!p.outage && now.Sub(member.HeardAt) > presentFor) {
			continue
		}
		if known, ok := newest[member.Host]; !ok || member.Incarnation > known.Incarnation {
			newest[member.Host] = member
		}
	}
	members := make([]membership.Member, 0, len(newest))
	for _, member := range newest {
		members = append(members, member)
	}
	return members
}

// Daemons counts the daemons that are there, this one included.
func (p *Presence) Daemons() int { return 1 + len(p.Members()) }
