package dissemination

import (
	"maps"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Revisions is the value of the item in SectionRevisions.
type Revisions struct {
	Revision ident.Revision
	Holds    ident.Revision
}

// receive processes a frame and sends the answer, if there is one.
func (m *Manager) receive(now time.Time, r received) {
	m.mu.Lock()
	answer, due := m.node.Receive(now, r.from, r.frame)
	m.mergeConsumption(r.frame)
	m.mu.Unlock()
	if due {
		m.send(Envelope{To: r.from, Frame: answer})
	}
}

// tick advances the node and sends its frames.
func (m *Manager) tick(now time.Time) {
	members := m.opts.Members.Members()
	m.mu.Lock()
	m.renew(now)
	m.updatePeers(members)
	var revisions Revisions
	revisions.Revision, revisions.Holds = m.opts.Loaded()
	// Encoding two numbers cannot fail.
	data, _ := peer.EncodeCompact(revisions)
	m.publish(Key{Section: SectionRevisions}, data, true)
	if m.node.Due(now) {
		m.publishConsumption(len(members) + 1)
	}
	out := m.node.Tick(now)
	heartbeats := m.heartbeats(now)
	m.metrics.origins.Set(float64(len(m.node.origins)))
	m.metrics.gaps.Set(float64(m.node.Gaps()))
	m.mu.Unlock()
	for _, envelope := range out {
		m.send(envelope)
	}
	if len(heartbeats) > 0 {
		m.opts.Members.RecordHeartbeats(heartbeats)
	}
}

// renew switches to the membership's current incarnation if it has changed. The
// new instance republishes all items but the consumption sums, which start again.
func (m *Manager) renew(now time.Time) {
	self := m.opts.Members.Self()
	instance := Instance{self.Host, self.Incarnation}
	if instance == m.instance {
		return
	}
	m.instance = instance
	m.node.Renew(now, instance)
	m.ledger.Renew(instance)
	for key, value := range m.lastValues {
		if key.Section == SectionConsumption {
			delete(m.lastValues, key)
			continue
		}
		m.node.Publish(key, value, false)
	}
}

// updatePeers sets the node's list of hosts and which of them are up.
func (m *Manager) updatePeers(members []membership.Member) {
	linked := make(map[ident.Host]bool)
	for _, host := range m.opts.Links.Linked() {
		linked[host] = true
	}
	up := map[ident.Host]bool{m.instance.Host: true}
	hosts := make([]ident.Host, 0, len(members))
	for i := range members {
		if members[i].Status == membership.Left {
			continue
		}
		hosts = append(hosts, members[i].Host)
		up[members[i].Host] = linked[members[i].Host] || members[i].Status == membership.Alive
	}
	strategy := StrategyFor(len(hosts)+1, m.opts.Degree)
	if _, flat := strategy.(Flat); flat {
		for _, host := range hosts {
			up[host] = linked[host]
		}
	}
	m.node.strategy = strategy
	// The hosts are compared on every tick and sorted only after a change, since
	// sorting costs more.
	if !slices.Equal(hosts, m.hosts) || !maps.Equal(up, m.node.peers.Up) {
		m.hosts = hosts
		m.node.SetPeers(NewPeers(m.instance.Host, hosts, up), TimingFor(len(hosts)+1))
	}
	for host := range linked {
		if !m.linked[host] {
			m.node.HostUp(host)
		}
	}
	m.linked = linked
}

// publishConsumption stages the sums that changed the most.
func (m *Manager) publishConsumption(hosts int) {
	for _, sum := range m.ledger.PickChanged(max(minSums, sumsPerFleet/hosts)) {
		key := Key{SectionConsumption, string(sum.Workspace)}
		m.publish(key, sum.Consumption.encode(), false)
	}
}

// mergeConsumption merges the consumption sums of a frame into the ledger.
func (m *Manager) mergeConsumption(frame *Frame) {
	for i := range frame.Bundles {
		b := &frame.Bundles[i]
		for j := range b.Items {
			m.mergeSum(b.Origin, b.Items[j].ID)
		}
		if b.Version == 1 {
			m.mergeOriginSums(b.Origin)
		}
	}
	for i := range frame.Repairs {
		r := &frame.Repairs[i]
		for j := range r.Items {
			m.mergeSum(r.Origin, r.Items[j].ID)
			if r.Items[j].ID == instanceItem {
				m.mergeOriginSums(r.Origin)
			}
		}
	}
}

// mergeOriginSums merges all sums of an origin into the ledger, for the case
// that its instance item arrived after them.
func (m *Manager) mergeOriginSums(id OriginID) {
	if o := m.node.origins[id]; o != nil {
		for item := range o.items {
			m.mergeSum(id, item)
		}
	}
}

// mergeSum merges an item into the ledger if it is a sum of an identified
// origin.
func (m *Manager) mergeSum(id OriginID, item ItemID) {
	o := m.node.origins[id]
	if o == nil || !o.identified {
		return
	}
	state := o.items[item]
	if state == nil || state.key.Section != SectionConsumption {
		return
	}
	if consumed, ok := decodeConsumption(state.value); ok {
		m.ledger.Merge(o.instance, Sum{ident.Workspace(state.key.Name), consumed})
	}
}

// heartbeats returns a heartbeat for each origin of which a new version has arrived
// since the last tick.
func (m *Manager) heartbeats(now time.Time) []membership.Heartbeat {
	var heartbeats []membership.Heartbeat
	for id, o := range m.node.origins {
		if !o.identified || id == m.node.self || now.Sub(o.lastSeenAt) > TickInterval {
			continue
		}
		heartbeat := membership.Heartbeat{Host: o.instance.Host, Incarnation: o.instance.Incarnation}
		for _, state := range o.sections[SectionRevisions] {
			var revisions Revisions
			if peer.Decode(state.value, &revisions) == nil {
				heartbeat.Revision, heartbeat.HoldsRevision = revisions.Revision, revisions.Holds
			}
		}
		heartbeats = append(heartbeats, heartbeat)
	}
	return heartbeats
}

// send queues a frame for a peer.
func (m *Manager) send(envelope Envelope) {
	payload, err := peer.EncodeCompact(envelope.Frame)
	if err != nil {
		m.opts.Log.Error("cannot encode dissemination message", "error", err)
		return
	}
	// A peer without a link reconciles once it has one.
	_ = m.opts.Links.Send(envelope.To, peer.Message{Kind: peer.KindState, Version: peer.KnownVersion, Payload: payload})
}
