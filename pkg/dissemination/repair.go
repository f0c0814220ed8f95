package dissemination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// gapGrace is how long a gap stands before another daemon is asked, since the
// lanes fill most.
const gapGrace = 500 * time.Millisecond

// maxTries is how often a fresh daemon asks for another's whole state.
const maxTries = 10

// maxRepairItems bounds the items of one answer.
const maxRepairItems = 4096

// repairs adds the questions for what is missing and, at its pace, the
// comparison with another daemon.
func (n *Node) repairs(now time.Time, frames map[ident.Host]*Frame) {
	overdue := time.Duration(overdueBundles * float64(n.timing.BundleEvery))
	var wants []Want
	for id, o := range n.origins {
		silence := now.Sub(o.heardAt)
		if silence > n.timing.ForgetAfter && id != n.self {
			n.forget(now, id)
			continue
		}
		missing := o.gap() && now.Sub(o.gapAt) >= gapGrace || (silence > overdue && o.asks < maxAsks && id != n.self)
		if missing && now.Sub(o.askedAt) >= n.timing.BundleEvery/2 {
			o.askedAt = now
			o.asks++
			wants = append(wants, Want{Origin: id, After: o.whole})
		}
	}
	if !now.Before(n.compareAt) {
		n.compareAt = now.Add(n.timing.CompareEvery/2 + time.Duration(n.random.Int64N(int64(n.timing.CompareEvery))))
		if !n.caughtUp {
			n.compareAt = now.Add(catchUpEvery)
			n.tries++
			// Where everyone is fresh nobody can complete the others.
			n.caughtUp = n.tries > maxTries
		}
		n.ask(frames, n.everything(), true)
		return
	}
	n.ask(frames, wants, false)
}

// forget drops an origin for good.
func (n *Node) forget(now time.Time, id OriginID) {
	delete(n.origins, id)
	n.forgotten[id] = now
	for other, at := range n.forgotten {
		if now.Sub(at) > 2*n.timing.ForgetAfter {
			delete(n.forgotten, other)
		}
	}
}

// everything returns a want for each origin.
func (n *Node) everything() []Want {
	wants := make([]Want, 0, len(n.origins))
	for id, o := range n.origins {
		wants = append(wants, Want{Origin: id, After: o.whole})
	}
	return wants
}

// ask adds wants to the helper's frame.
func (n *Node) ask(frames map[ident.Host]*Frame, wants []Want, complete bool) {
	if len(wants) == 0 {
		return
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Origin, b.Origin) })
	to := n.strategy.Helper(n.peers, n.random)
	if to == "" {
		// Nobody was asked, so the next chance is taken.
		n.compareAt = time.Time{}
		return
	}
	frame := frameFor(frames, to)
	frame.Wants, frame.Complete = wants, complete
}

// Receive takes a frame in and returns the answer, if there is one.
func (n *Node) Receive(now time.Time, from ident.Host, frame *Frame) (Frame, bool) {
	// Answers to wants are sent at once and bear no number.
	if frame.Sequence != 0 {
		if again := n.lane(from).open(now, frame); len(again) > 0 {
			n.again[from] = append(n.again[from], again...)
		}
	}
	for i := range frame.Bundles {
		n.receiveBundle(now, from, &frame.Bundles[i])
	}
	for i := range frame.Repairs {
		r := &frame.Repairs[i]
		if o := n.origin(now, r.Origin); o != nil && r.Origin != n.self {
			n.passOn(o, r, from)
			o.repair(now, r)
		}
	}
	if frame.More {
		n.compareAt = now
	}
	// An answer bears no number; a complete one ends the catching up.
	n.caughtUp = n.caughtUp || (frame.Sequence == 0 && frame.Complete)
	answer := n.answer(frame)
	return answer, len(answer.Repairs)+len(answer.Wants) > 0
}

// passOn queues the revisions of a repair that are news, so that a healed
// parting doesn't wait for every daemon's own questions.
func (n *Node) passOn(o *origin, r *Repair, from ident.Host) {
	for _, item := range r.Items {
		old := o.items[item.ID]
		if item.Section == SectionRevisions && (old == nil || item.Version > old.version) {
			part := Repair{Origin: r.Origin, Version: item.Version, After: math.MaxUint64, Items: []RepairItem{item}}
			n.passing = append(n.passing, passed{repair: part, urgent: n.caughtUp, from: from})
		}
	}
}

// pass sends the queued repairs on.
func (n *Node) pass(frames map[ident.Host]*Frame) {
	for i := range n.passing {
		p := &n.passing[i]
		way := Bundle{Origin: p.repair.Origin, Urgent: p.urgent}
		for _, to := range n.strategy.Forward(n.peers, n.random, &way, p.from) {
			frame := frameFor(frames, to)
			frame.Repairs = append(frame.Repairs, p.repair)
		}
	}
	n.passing = nil
}

// receiveBundle takes a bundle in and queues it for forwarding if it is news.
func (n *Node) receiveBundle(now time.Time, from ident.Host, b *Bundle) {
	o := n.origin(now, b.Origin)
	if o == nil || b.Origin == n.self {
		return
	}
	hadGap := o.gap()
	if o.take(now, b) {
		n.pending = append(n.pending, forward{bundle: *b, from: from})
	}
	if o.gap() && !hadGap {
		o.gapAt = now
		n.gaps++
	}
}

// answer returns the repairs for a frame's wants.
func (n *Node) answer(frame *Frame) Frame {
	var out Frame
	items := 0
	add := func(id OriginID, after Version) {
		o := n.origins[id]
		if o == nil || o.whole <= after {
			return
		}
		if items > maxRepairItems {
			out.More = true
			return
		}
		repair := o.since(id, after)
		items += len(repair.Items)
		out.Repairs = append(out.Repairs, repair)
	}
	for _, want := range frame.Wants {
		add(want.Origin, want.After)
	}
	if frame.Complete && frame.Sequence != 0 {
		out.Wants = n.compare(frame.Wants, add)
	}
	out.Complete = frame.Complete && n.caughtUp && !out.More && frame.Sequence != 0
	return out
}

// compare adds the origins that a complete list of wants leaves out, and
// returns the wants for what its sender holds more of.
func (n *Node) compare(wants []Want, add func(OriginID, Version)) []Want {
	var back []Want
	named := make(map[OriginID]bool, len(wants))
	for _, want := range wants {
		named[want.Origin] = true
		if n.lacks(want) {
			back = append(back, Want{Origin: want.Origin, After: n.wholeOf(want.Origin)})
		}
	}
	// The order decides what is left out of a full answer, so it is fixed.
	for _, id := range slices.Sorted(maps.Keys(n.origins)) {
		if !named[id] {
			add(id, 0)
		}
	}
	return back
}

// wholeOf returns the version up to which nothing of an origin is missing.
func (n *Node) wholeOf(id OriginID) Version {
	if o := n.origins[id]; o != nil {
		return o.whole
	}
	return 0
}

// lacks reports whether the sender of a want holds more of the origin. A fresh
// daemon catches up from one other alone.
func (n *Node) lacks(want Want) bool {
	ready := n.caughtUp || n.wholeOf(want.Origin) > 0
	return ready && n.wholeOf(want.Origin) < want.After && n.forgotten[want.Origin].IsZero()
}
