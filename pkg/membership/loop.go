package membership

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// tick advances the table and sends its gossip.
func (m *Manager) tick(now time.Time) {
	var heartbeat Heartbeat
	heartbeat.Revision, heartbeat.HoldsRevision = m.opts.Loaded()
	for _, envelope := range m.table.Tick(now, heartbeat, m.opts.Links.Linked()) {
		m.send(envelope.To, &envelope.Gossip)
	}
}

// handleEvent processes one event.
func (m *Manager) handleEvent(now time.Time, e event) {
	if e.gossip != nil {
		before := m.table.Self().Incarnation
		answer, due := m.table.Receive(now, e.gossip)
		if m.table.Self().Incarnation != before {
			m.metrics.renewed.Inc()
			m.opts.Log.Warn("incarnation was ended by other daemons, continuing with a new one", "incarnation", m.table.Self().Incarnation)
		}
		if due {
			answer.From.Revision, answer.From.HoldsRevision = m.opts.Loaded()
			m.send(e.from, &answer)
		}
	}
	for _, heartbeat := range e.heartbeats {
		m.table.RecordHeartbeat(now, heartbeat)
	}
	if e.endedLink != "" {
		m.table.LinkEnded(e.endedLink)
	}
	m.replaceSeeds(e.hosts)
	if e.leave != nil {
		m.table.Leave()
		m.tick(now)
		close(e.leave)
	}
}

// replaceSeeds replaces the seeds by a fresh host list; an empty one is ignored.
func (m *Manager) replaceSeeds(hosts []external.HostRecord) {
	if len(hosts) == 0 {
		return
	}
	clear(m.seeds)
	for _, host := range hosts {
		m.seeds[host.Host] = host
	}
}

// send queues a gossip for a peer.
func (m *Manager) send(to ident.Host, gossip *Gossip) {
	payload, err := peer.EncodeCompact(gossip)
	if err != nil {
		m.opts.Log.Error("cannot encode membership message", "error", err)
		return
	}
	// A peer without a link gets the next heartbeat once it has one.
	_ = m.opts.Links.Send(to, peer.Message{Kind: peer.KindMembership, Version: peer.KnownVersion, Payload: payload})
}

// updateLinks sets the peers to keep links to.
func (m *Manager) updateLinks() {
	addresses := make(map[ident.Host]string)
	for host, seed := range m.seeds {
		addresses[host] = seed.PeerAddress
	}
	for _, record := range m.table.Records()[1:] {
		if record.Address != "" {
			addresses[record.Host] = record.Address
		}
		if record.Left && m.seeds[record.Host].Host == "" {
			delete(addresses, record.Host)
		}
	}
	hosts := make([]ident.Host, 0, len(addresses))
	for host := range addresses {
		hosts = append(hosts, host)
	}
	up := map[ident.Host]bool{m.opts.Self.Host: true}
	for _, host := range AliveHosts(m.table.Members()) {
		up[host] = true
	}
	var wanted []peer.Address
	for _, host := range m.opts.Neighbors(m.opts.Self.Host, hosts, up, m.opts.Degree) {
		wanted = append(wanted, peer.Address{Host: host, Address: addresses[host]})
	}
	m.opts.Links.SetPeers(wanted)
}

// publishSnapshot makes the table's state readable from other goroutines.
func (m *Manager) publishSnapshot() {
	members := m.table.Members()
	self := m.table.Self()
	m.members.Store(&members)
	m.self.Store(&self)
	m.metrics.setMembers(members)
}

// readHosts reads the platform's host list periodically while fewer than
// hostListReaders live members rank before the daemon, and so also while no other
// member is alive.
func (m *Manager) readHosts(ctx context.Context) error {
	if m.opts.Hosts == nil {
		return nil
	}
	ticker := time.NewTicker(m.opts.HostListInterval)
	defer ticker.Stop()
	for {
		if Rank("host list", m.opts.Self.Host, AliveHosts(m.Members())) < hostListReaders {
			m.readHostsOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readHostsOnce reads the platform's host list and queues it for the loop.
func (m *Manager) readHostsOnce(ctx context.Context) {
	hosts, err := m.opts.Hosts.Hosts(ctx)
	if err != nil {
		m.opts.Log.Warn("cannot read host list", "error", err)
		return
	}
	m.enqueue(event{hosts: hosts})
}

// AliveHosts returns the hosts of the members that are alive.
func AliveHosts(members []Member) []ident.Host {
	var hosts []ident.Host
	for i := range members {
		if members[i].Status == Alive {
			hosts = append(hosts, members[i].Host)
		}
	}
	return hosts
}
