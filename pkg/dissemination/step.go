package dissemination

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Tick makes the daemon's own bundle if one is due and returns the frames to
// send.
func (n *Node) Tick(now time.Time) []Envelope {
	if n.Due(now) {
		n.bundle(now)
	}
	frames := make(map[ident.Host]*Frame)
	n.forwardBundles(now, frames)
	n.forwardRepairs(frames)
	n.requestMissing(now, frames)
	for _, to := range n.newlyUp {
		frame := frameFor(frames, to)
		frame.Wants, frame.Complete = n.wantsForAll(), true
	}
	n.newlyUp = n.newlyUp[:0]
	return n.finalizeFrames(now, frames)
}

// forwardBundles forwards urgent bundles immediately, and the others once per
// forwarding interval.
func (n *Node) forwardBundles(now time.Time, frames map[ident.Host]*Frame) {
	due := !now.Before(n.forwardAt)
	if due {
		n.forwardAt = now.Add(n.timing.ForwardInterval)
	}
	waiting := n.pendingBundles[:0]
	for i := range n.pendingBundles {
		p := n.pendingBundles[i]
		if !due && !p.bundle.Urgent {
			waiting = append(waiting, p)
			continue
		}
		for _, to := range n.strategy.Forward(n.peers, n.random, &p.bundle, p.from) {
			frame := frameFor(frames, to)
			frame.Bundles = append(frame.Bundles, p.bundle)
		}
	}
	n.pendingBundles = waiting
}

// finalizeFrames adds retransmissions and frames that report missing ones,
// drops idle link states, and numbers the frames.
func (n *Node) finalizeFrames(now time.Time, frames map[ident.Host]*Frame) []Envelope {
	for to, bundles := range n.retransmits {
		frame := frameFor(frames, to)
		frame.Bundles = append(frame.Bundles, bundles...)
	}
	clear(n.retransmits)
	for host, l := range n.linkStates {
		if len(l.missing)+len(l.reportedMissing) > 0 {
			frameFor(frames, host)
		}
		if now.Sub(l.usedAt) > linkStateTimeout {
			delete(n.linkStates, host)
		}
	}
	for to, frame := range frames {
		n.linkState(to).numberFrame(now, frame)
	}
	return sortedEnvelopes(frames)
}

// linkState returns the state of the link to a neighbor.
func (n *Node) linkState(host ident.Host) *linkState {
	l := n.linkStates[host]
	if l == nil {
		l = new(linkState)
		n.linkStates[host] = l
	}
	return l
}

// Due reports whether the next tick makes the daemon's own bundle.
func (n *Node) Due(now time.Time) bool {
	return n.urgent || now.Sub(n.bundledAt) >= n.timing.BundleInterval
}

// bundle makes the daemon's own bundle from the staged items.
func (n *Node) bundle(now time.Time) {
	n.version++
	b := Bundle{Origin: n.self, Version: n.version, Urgent: n.urgent}
	for key, value := range n.staged {
		item := Item{Value: value}
		id, known := n.ids[key]
		if !known {
			id = ItemID(len(n.ids))
			n.ids[key] = id
		}
		item.ID = id
		if !known || id == instanceItem {
			item.Section, item.Name = key.Section, key.Name
		}
		b.Items = append(b.Items, item)
	}
	slices.SortFunc(b.Items, func(a, b Item) int { return cmp.Compare(a.ID, b.ID) })
	clear(n.staged)
	n.urgent, n.bundledAt = false, now
	if o := n.origin(now, n.self); o != nil {
		o.applyBundle(now, &b)
	}
	n.pendingBundles = append(n.pendingBundles, pendingBundle{bundle: b})
}

// origin returns the state of an origin, or nil for a forgotten one.
func (n *Node) origin(now time.Time, id OriginID) *origin {
	o := n.origins[id]
	if o != nil || !n.forgotten[id].IsZero() {
		return o
	}
	o = newOrigin(now)
	n.origins[id] = o
	return o
}

// frameFor returns the frame for a receiver.
func frameFor(frames map[ident.Host]*Frame, to ident.Host) *Frame {
	frame := frames[to]
	if frame == nil {
		frame = new(Frame)
		frames[to] = frame
	}
	return frame
}

// sortedEnvelopes returns the frames in the order of their receivers.
func sortedEnvelopes(frames map[ident.Host]*Frame) []Envelope {
	out := make([]Envelope, 0, len(frames))
	for to, frame := range frames {
		out = append(out, Envelope{To: to, Frame: *frame})
	}
	slices.SortFunc(out, func(a, b Envelope) int { return cmp.Compare(a.To, b.To) })
	return out
}
