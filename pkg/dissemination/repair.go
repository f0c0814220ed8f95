package dissemination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// gapGrace is how long a gap lasts before the missing bundles are requested from
// another daemon, since retransmission on the links closes most gaps.
const gapGrace = 500 * time.Millisecond

// maxCatchUpAttempts bounds how often a fresh daemon requests the whole state
// of another.
const maxCatchUpAttempts = 10

// maxRepairItems bounds the items of one answer; the repair that exceeds it is
// still sent whole.
const maxRepairItems = 4096

// requestMissing requests what is missing, forgets silent origins and, once per
// interval, reconciles with another daemon.
func (n *Node) requestMissing(now time.Time, frames map[ident.Host]*Frame) {
	overdue := time.Duration(overduePeriods * float64(n.timing.BundleInterval))
	var wants []Want
	for id, o := range n.origins {
		silence := now.Sub(o.lastSeenAt)
		if silence > n.timing.ForgetAfter && id != n.self {
			n.forget(now, id)
			continue
		}
		missing := o.hasGap() && now.Sub(o.gapSince) >= gapGrace || (silence > overdue && o.requestCount < maxRequests && id != n.self)
		if missing && now.Sub(o.requestedAt) >= n.timing.BundleInterval/2 {
			o.requestedAt = now
			o.requestCount++
			wants = append(wants, Want{Origin: id, After: o.contiguous})
		}
	}
	if !now.Before(n.reconcileAt) {
		n.reconcileAt = now.Add(n.timing.ReconcileInterval/2 + time.Duration(n.random.Int64N(int64(n.timing.ReconcileInterval))))
		if !n.caughtUp {
			n.reconcileAt = now.Add(catchUpInterval)
			n.catchUpAttempts++
			// In a fleet where every daemon is fresh, none has the whole state.
			n.caughtUp = n.catchUpAttempts > maxCatchUpAttempts
		}
		n.addWants(frames, n.wantsForAll(), true)
		return
	}
	n.addWants(frames, wants, false)
}

// forget drops an origin. forgotten prevents it from being added again for at
// least 2*ForgetAfter.
func (n *Node) forget(now time.Time, id OriginID) {
	delete(n.origins, id)
	n.forgotten[id] = now
	for other, at := range n.forgotten {
		if now.Sub(at) > 2*n.timing.ForgetAfter {
			delete(n.forgotten, other)
		}
	}
}

// wantsForAll returns a Want for each origin.
func (n *Node) wantsForAll() []Want {
	wants := make([]Want, 0, len(n.origins))
	for id, o := range n.origins {
		wants = append(wants, Want{Origin: id, After: o.contiguous})
	}
	return wants
}

// addWants sets the Wants of the frame for the repair peer.
func (n *Node) addWants(frames map[ident.Host]*Frame, wants []Want, complete bool) {
	if len(wants) == 0 {
		return
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Origin, b.Origin) })
	to := n.strategy.RepairPeer(n.peers, n.random)
	if to == "" {
		// No other host is up, so the next tick tries again.
		n.reconcileAt = time.Time{}
		return
	}
	frame := frameFor(frames, to)
	frame.Wants, frame.Complete = wants, complete
}

// Receive processes a frame and returns the answer, if there is one.
func (n *Node) Receive(now time.Time, from ident.Host, frame *Frame) (Frame, bool) {
	// Answers to Wants are sent immediately and have no sequence number.
	if frame.Sequence != 0 {
		if retransmits := n.linkState(from).recordReceived(now, frame); len(retransmits) > 0 {
			n.retransmits[from] = append(n.retransmits[from], retransmits...)
		}
	}
	for i := range frame.Bundles {
		n.receiveBundle(now, from, &frame.Bundles[i])
	}
	for i := range frame.Repairs {
		r := &frame.Repairs[i]
		if o := n.origin(now, r.Origin); o != nil && r.Origin != n.self {
			n.queueRevisionRepairs(o, r, from)
			o.applyRepair(now, r)
		}
	}
	if frame.More {
		n.reconcileAt = now
	}
	// An answer has no sequence number; a complete one ends the catch-up.
	n.caughtUp = n.caughtUp || (frame.Sequence == 0 && frame.Complete)
	answer := n.answer(frame)
	return answer, len(answer.Repairs)+len(answer.Wants) > 0
}

// queueRevisionRepairs queues the new revisions of a repair, so that after a
// network partition has healed they spread without each daemon requesting them.
func (n *Node) queueRevisionRepairs(o *origin, r *Repair, from ident.Host) {
	for _, item := range r.Items {
		old := o.items[item.ID]
		if item.Section == SectionRevisions && (old == nil || item.Version > old.version) {
			part := Repair{Origin: r.Origin, Version: item.Version, After: math.MaxUint64, Items: []RepairItem{item}}
			n.pendingRepairs = append(n.pendingRepairs, pendingRepair{repair: part, urgent: n.caughtUp, from: from})
		}
	}
}

// forwardRepairs forwards the queued repairs.
func (n *Node) forwardRepairs(frames map[ident.Host]*Frame) {
	for i := range n.pendingRepairs {
		p := &n.pendingRepairs[i]
		selector := Bundle{Origin: p.repair.Origin, Urgent: p.urgent}
		for _, to := range n.strategy.Forward(n.peers, n.random, &selector, p.from) {
			frame := frameFor(frames, to)
			frame.Repairs = append(frame.Repairs, p.repair)
		}
	}
	n.pendingRepairs = nil
}

// receiveBundle applies a bundle and queues it for forwarding if it is new.
func (n *Node) receiveBundle(now time.Time, from ident.Host, b *Bundle) {
	o := n.origin(now, b.Origin)
	if o == nil || b.Origin == n.self {
		return
	}
	hadGap := o.hasGap()
	if o.applyBundle(now, b) {
		n.pendingBundles = append(n.pendingBundles, pendingBundle{bundle: *b, from: from})
	}
	if o.hasGap() && !hadGap {
		o.gapSince = now
		n.gaps++
	}
}

// answer returns the answer to a frame's Wants.
func (n *Node) answer(frame *Frame) Frame {
	var out Frame
	items := 0
	addRepair := func(id OriginID, after Version) {
		o := n.origins[id]
		if o == nil || o.contiguous <= after {
			return
		}
		if items > maxRepairItems {
			out.More = true
			return
		}
		repair := o.repairSince(id, after)
		items += len(repair.Items)
		out.Repairs = append(out.Repairs, repair)
	}
	for _, want := range frame.Wants {
		addRepair(want.Origin, want.After)
	}
	if frame.Complete && frame.Sequence != 0 {
		out.Wants = n.reconcile(frame.Wants, addRepair)
	}
	out.Complete = frame.Complete && n.caughtUp && !out.More && frame.Sequence != 0
	return out
}

// reconcile adds repairs for the origins that a complete list of Wants leaves
// out, and returns Wants for the origins that its sender holds more of.
func (n *Node) reconcile(wants []Want, addRepair func(OriginID, Version)) []Want {
	var counterWants []Want
	named := make(map[OriginID]bool, len(wants))
	for _, want := range wants {
		named[want.Origin] = true
		if n.senderIsAhead(want) {
			counterWants = append(counterWants, Want{Origin: want.Origin, After: n.contiguousVersion(want.Origin)})
		}
	}
	// The order decides what is left out of a full answer, so it is fixed.
	for _, id := range slices.Sorted(maps.Keys(n.origins)) {
		if !named[id] {
			addRepair(id, 0)
		}
	}
	return counterWants
}

// contiguousVersion returns the version up to which no bundle of an origin is
// missing.
func (n *Node) contiguousVersion(id OriginID) Version {
	if o := n.origins[id]; o != nil {
		return o.contiguous
	}
	return 0
}

// senderIsAhead reports whether the sender of a Want holds more of the origin.
// Until it has caught up, a daemon doesn't request unknown origins here, since
// the peer that it catches up from sends them.
func (n *Node) senderIsAhead(want Want) bool {
	ready := n.caughtUp || n.contiguousVersion(want.Origin) > 0
	return ready && n.contiguousVersion(want.Origin) < want.After && n.forgotten[want.Origin].IsZero()
}
