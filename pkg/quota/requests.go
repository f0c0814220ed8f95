package quota

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// hedgeDelay is how long one keeper's answer is waited for before another gets a need.
	hedgeDelay = 100 * time.Millisecond
	// denialPause is, per host, the least time between two needs after a denial, and
	// maxDenialPause the most that it amounts to: it bounds the messages to one keeper.
	denialPause    = 2500 * time.Microsecond
	maxDenialPause = 100 * time.Millisecond
	// shortWait is the longest time for which a request waits for units that a keeper does
	// not have yet. After such a wait was in vain, none waits for vainPause.
	shortWait = 100 * time.Millisecond
	vainPause = time.Second
	// maxDenial bounds the time for which a denial holds.
	maxDenial = 500 * time.Millisecond
	// notKeeperWait is the wait that a daemon states that may not grant.
	notKeeperWait = 100 * time.Millisecond
)

// advance decides the claims that can be decided, in order, and requests units for the
// others.
func (t *Table) advance(h *holder, now time.Time) {
	for len(h.waiting) > 0 {
		c := h.waiting[0]
		switch {
		case h.take(c.cost, t.credit()):
			h.waiting = h.waiting[1:]
			c.decide(Admitted)
			continue
		case now.Sub(c.since) >= claimTimeout:
			t.refuse(h, c, now)
			continue
		}
		t.request(h, now)
		if len(h.waiting) == 0 || h.waiting[0] != c {
			return
		}
		if h.answerPending() {
			return
		}
		if !now.Before(h.noWaitUntil) && h.grantedBy(c.since.Add(shortWait), now) {
			c.waited = true
			return
		}
		t.refuse(h, c, now)
	}
}

// refuse refuses the first waiting claim.
func (t *Table) refuse(h *holder, c *Claim, now time.Time) {
	h.remove(c)
	if c.waited {
		h.noWaitUntil = now.Add(vainPause)
	}
	c.refusal = Refusal{Wait: h.shortestWait(now), Unanswered: !h.deniedSince(c.since), Used: h.used, Granted: h.granted}
	if !h.grantedAt.IsZero() {
		c.refusal.Age = now.Sub(h.grantedAt)
	}
	c.decide(Refused)
}

// remove removes a claim from those that wait.
func (h *holder) remove(c *Claim) {
	h.waiting = slices.DeleteFunc(h.waiting, func(other *Claim) bool { return other == c })
}

// shortestWait returns the shortest time that a keeper stated until it can grant.
func (h *holder) shortestWait(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, k := range h.keepers {
		wait := max(k.wait, k.silentUntil.Sub(now))
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// grantedBy reports whether a keeper that denied units may grant them by a time.
func (h *holder) grantedBy(at, now time.Time) bool {
	return slices.ContainsFunc(h.keepers, func(k *keeperLink) bool {
		return !k.deniedUntil.After(at) && !k.deniedUntil.IsZero() && !now.Before(k.silentUntil)
	}) && now.Before(at)
}

// deniedSince reports whether a denial held at a time or later.
func (h *holder) deniedSince(since time.Time) bool {
	return slices.ContainsFunc(h.keepers, func(k *keeperLink) bool { return k.deniedUntil.After(since) })
}

// answerPending reports whether a keeper has yet to answer.
func (h *holder) answerPending() bool {
	return slices.ContainsFunc(h.keepers, func(k *keeperLink) bool { return k.pendingID != 0 })
}

// request sends a need to a keeper that may grant it, unless one was just sent.
func (t *Table) request(h *holder, now time.Time) {
	amount, least := h.wanted(t.lease(), t.credit())
	if amount <= 0 {
		return
	}
	var best *keeperLink
	for _, k := range h.keepers {
		k.checkSilence(now)
		switch {
		case k.pendingID != 0:
			if now.Sub(k.sentAt) < hedgeDelay {
				return
			}
		case k.closed(least, now):
		case best == nil || k.sentAt.Before(best.sentAt):
			best = k
		}
	}
	if best == nil {
		return
	}
	t.nextID++
	best.pendingID, best.pendingLeast, best.sentAt = t.nextID, least, now
	need := Need{Workspace: h.workspace, ID: t.nextID, Amount: amount, Least: least, Returned: best.returned, Epoch: best.epoch}
	best.returned = 0
	t.deliver(best.host, &need, now)
}

// checkSilence records that the keeper has not answered in time.
func (k *keeperLink) checkSilence(now time.Time) {
	if k.pendingID != 0 && now.Sub(k.sentAt) >= answerTimeout {
		k.pendingID = 0
		k.silentUntil = now.Add(silentPause)
	}
}

// closed reports whether the keeper would not grant a need for at least the given units.
func (k *keeperLink) closed(least float64, now time.Time) bool {
	return now.Before(k.silentUntil) || (now.Before(k.deniedUntil) && least >= k.deniedLeast)
}

// deliver passes a need to a keeper, which may be this daemon.
func (t *Table) deliver(host ident.Host, need *Need, now time.Time) {
	if host != t.opts.Self {
		t.outgoing = append(t.outgoing, &Message{From: t.opts.Self, To: host, Needs: []Need{*need}})
		return
	}
	if grant := t.grant(need, now); grant.ID != 0 {
		t.receiveGrant(host, &grant, now)
	}
}

// returnUnits sends unused units back to their keepers.
func (t *Table) returnUnits(h *holder) {
	for _, k := range h.keepers {
		if k.returned <= 0 || k.pendingID != 0 {
			continue
		}
		need := Need{Workspace: h.workspace, Returned: k.returned, Epoch: k.epoch}
		k.returned = 0
		t.deliver(k.host, &need, t.opts.Now())
	}
}

// grant answers a need as its keeper, or denies it if this host may not grant.
func (t *Table) grant(need *Need, now time.Time) Grant {
	limit, limited := t.opts.LimitOf(need.Workspace)
	readyAt := t.readyAt()
	mayGrant := limited && !now.Before(readyAt) && t.opts.InTouch() && t.hosts.settled(need.Workspace, now)
	if !mayGrant {
		return Grant{Workspace: need.Workspace, ID: need.ID, Epoch: t.opts.Epoch, WaitMillis: notKeeperWait.Milliseconds()}
	}
	if settledAt := t.hosts.changedAt.Add(t.opts.SettleTime); settledAt.After(readyAt) {
		readyAt = settledAt
	}
	keepers := min(keeperCount, t.hosts.count())
	return t.keeper.grant(need, t.opts.Bounds().part(limit, keepers), readyAt, now)
}

// readyAt returns when this process may begin to grant: once the units that an earlier
// process of the host granted are void, or, on a new host, once all daemons see it.
func (t *Table) readyAt() time.Time {
	if t.opts.Restarted() {
		return t.startedAt.Add(t.lease())
	}
	return t.startedAt.Add(max(t.lease(), t.opts.SettleTime))
}

// receiveGrant processes a keeper's answer. The lease of the units began when the need
// was sent, so that the time for which the answer or the process was held up counts.
func (t *Table) receiveGrant(from ident.Host, grant *Grant, now time.Time) {
	h := t.holders[grant.Workspace]
	if h == nil {
		return
	}
	at := slices.IndexFunc(h.keepers, func(k *keeperLink) bool { return k.host == from })
	if at < 0 {
		return
	}
	k := h.keepers[at]
	if k.pendingID != grant.ID {
		// The answer came after answerTimeout. Its units are out of the keeper's bucket.
		k.giveBack(grant.Amount, grant.Epoch)
		return
	}
	k.pendingID, k.silentUntil = 0, time.Time{}
	if k.epoch != grant.Epoch {
		k.epoch, k.returned = grant.Epoch, 0
	}
	if grant.Amount > 0 {
		k.deniedUntil = time.Time{}
		h.add(lot{amount: grant.Amount, expires: k.sentAt.Add(t.lease()), keeper: k, epoch: grant.Epoch}, now)
	} else {
		k.wait = time.Duration(grant.WaitMillis) * time.Millisecond
		pause := max(min(k.wait, maxDenial), min(maxDenialPause, time.Duration(t.hosts.count())*denialPause))
		k.deniedLeast, k.deniedUntil = k.pendingLeast, now.Add(pause)
	}
	t.advance(h, now)
}

// unreachable records that a message could not be sent.
func (t *Table) unreachable(message *Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for i := range message.Needs {
		h := t.holders[message.Needs[i].Workspace]
		if h == nil {
			continue
		}
		for _, k := range h.keepers {
			if k.host != message.To {
				continue
			}
			if message.Needs[i].Returned > 0 {
				k.giveBack(message.Needs[i].Returned, message.Needs[i].Epoch)
			}
			if k.pendingID != 0 && k.pendingID == message.Needs[i].ID {
				k.pendingID, k.silentUntil = 0, now.Add(silentPause)
			}
		}
		t.advance(h, now)
	}
}
