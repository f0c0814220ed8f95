package dissemination

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Tick makes the daemon's own bundle where one is due and returns what is to
// be sent.
func (n *Node) Tick(now time.Time) []Envelope {
	if n.Due(now) {
		n.bundle(now)
	}
	frames := make(map[ident.Host]*Frame)
	n.forward(now, frames)
	n.pass(frames)
	n.repairs(now, frames)
	for _, to := range n.greets {
		frame := frameFor(frames, to)
		frame.Wants, frame.Complete = n.everything(), true
	}
	n.greets = n.greets[:0]
	return n.seal(now, frames)
}

// forward sends urgent bundles on at once, and the others at their pace.
func (n *Node) forward(now time.Time, frames map[ident.Host]*Frame) {
	due := !now.Before(n.forwardAt)
	if due {
		n.forwardAt = now.Add(n.timing.ForwardEvery)
	}
	waiting := n.pending[:0]
	for i := range n.pending {
		p := n.pending[i]
		if !due && !p.bundle.Urgent {
			waiting = append(waiting, p)
			continue
		}
		for _, to := range n.strategy.Forward(n.peers, n.random, &p.bundle, p.from) {
			frame := frameFor(frames, to)
			frame.Bundles = append(frame.Bundles, p.bundle)
		}
	}
	n.pending = waiting
}

// seal adds what goes over the lanes themselves and numbers the frames.
func (n *Node) seal(now time.Time, frames map[ident.Host]*Frame) []Envelope {
	for to, bundles := range n.again {
		frame := frameFor(frames, to)
		frame.Bundles = append(frame.Bundles, bundles...)
	}
	clear(n.again)
	for host, l := range n.lanes {
		if len(l.missed)+len(l.asked) > 0 {
			frameFor(frames, host)
		}
		if now.Sub(l.usedAt) > laneIdle {
			delete(n.lanes, host)
		}
	}
	for to, frame := range frames {
		n.lane(to).seal(now, frame)
	}
	return inOrder(frames)
}

// lane returns the lane to a neighbour.
func (n *Node) lane(host ident.Host) *lane {
	l := n.lanes[host]
	if l == nil {
		l = new(lane)
		n.lanes[host] = l
	}
	return l
}

// Due reports whether the next tick makes the daemon's own bundle.
func (n *Node) Due(now time.Time) bool {
	return n.urgent || now.Sub(n.bundledAt) >= n.timing.BundleEvery
}

// bundle makes the daemon's own bundle from what is staged.
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
		if !known || id == lifeItem {
			item.Section, item.Name = key.Section, key.Name
		}
		b.Items = append(b.Items, item)
	}
	slices.SortFunc(b.Items, func(a, b Item) int { return cmp.Compare(a.ID, b.ID) })
	clear(n.staged)
	n.urgent, n.bundledAt = false, now
	if o := n.origin(now, n.self); o != nil {
		o.take(now, &b)
	}
	n.pending = append(n.pending, forward{bundle: b})
}

// origin returns what is held of an origin, or nil for a forgotten one.
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

// inOrder returns the frames by receiver.
func inOrder(frames map[ident.Host]*Frame) []Envelope {
	out := make([]Envelope, 0, len(frames))
	for to, frame := range frames {
		out = append(out, Envelope{To: to, Frame: *frame})
	}
	slices.SortFunc(out, func(a, b Envelope) int { return cmp.Compare(a.To, b.To) })
	return out
}
