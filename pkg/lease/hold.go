package lease

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// endReason is why the process stopped holding a duty.
type endReason string

// The reasons.
const (
	// endStopped means that the caller of Run canceled its context.
	endStopped endReason = "stopped"
	// endReturned means that the work returned on its own.
	endReturned endReason = "returned"
	// endLost means that the authority ended.
	endLost endReason = "lost"
)

// hold runs the work until it returns, the authority ends or ctx is canceled. The work
// begins once no call of a former holder can take effect any more, see handover.
// The duty is released only after the work has returned.
func (c *campaign) hold(ctx context.Context, lease *storeLease, version external.Version) {
	m := c.manager
	a := &dutyAuthority{duty: c.duty, fencing: ident.FencingToken(version), lease: lease, ended: make(chan struct{})}
	m.held.Add(1)
	m.metrics.held.Inc()
	m.metrics.acquisitions.Inc()
	m.opts.Log.Info("duty taken", "duty", c.duty, "fencing", a.fencing)
	workCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { c.keepRenewed(workCtx, lease) })
	background.Go(func() { c.verifyHolder(workCtx, a) })
	handover := m.newHandover(a)
	go func() {
		defer close(done)
		if handover.begin(workCtx) != nil {
			return
		}
		if err := c.work(workCtx, a); err != nil && workCtx.Err() == nil {
			m.opts.Log.Warn("duty's work failed", "duty", c.duty, "error", err)
		}
	}()
	reason := c.waitForEnd(ctx, a, done)
	c.noteRise(lease)
	if reason != endLost {
		// A stopping holder keeps its authority until its work has returned,
		// so that the work can still record a send that is in flight.
		c.stopWork(lease, cancel, done)
	}
	cancel()
	a.end()
	<-done
	background.Wait()
	m.held.Add(-1)
	m.metrics.held.Dec()
	m.opts.Log.Info("duty ended", "duty", c.duty, "fencing", a.fencing, "ending", reason)
	if reason != endLost {
		handover.settle()
	}
	c.cleanUp(ctx, reason, version)
}

// waitForEnd blocks until the duty must be given up and returns the reason.
func (c *campaign) waitForEnd(ctx context.Context, a *dutyAuthority, done <-chan struct{}) endReason {
	for {
		_, risen := external.EraOf(a.lease.store)
		timer := time.NewTimer(max(a.lease.remaining(), 0))
		select {
		case <-ctx.Done():
			timer.Stop()
			return endStopped
		case <-done:
			timer.Stop()
			return endReturned
		case <-a.lease.ended:
			timer.Stop()
			return endLost
		case <-a.ended:
			timer.Stop()
			return endLost
		case <-risen:
			timer.Stop()
		case <-timer.C:
		}
		if a.lease.remaining() <= 0 {
			a.lease.end()
			return endLost
		}
	}
}

// stopWork cancels the work and waits until it returns or the lease ends.
func (c *campaign) stopWork(lease *storeLease, cancel context.CancelFunc, done <-chan struct{}) {
	cancel()
	timer := time.NewTimer(max(lease.remaining(), 0))
	defer timer.Stop()
	select {
	case <-done:
	case <-lease.ended:
	case <-timer.C:
	}
}

// cleanUp releases the duty, or counts its loss if the authority ended first.
func (c *campaign) cleanUp(ctx context.Context, reason endReason, version external.Version) {
	switch reason {
	case endLost:
		c.manager.metrics.losses.Inc()
	case endStopped:
		c.manager.release(c.duty, version)
	case endReturned:
		// If this fails, the next observation adopts the duty again.
		c.manager.tryRelease(ctx, c.duty, version)
		c.waitForPoll(ctx)
	}
}

// keepRenewed renews the lease whenever that is due, until ctx ends or the lease
// is over.
func (c *campaign) keepRenewed(ctx context.Context, lease *storeLease) {
	m := c.manager
	for ctx.Err() == nil && lease.remaining() > 0 {
		m.session.renew(ctx, lease)
		clock.Sleep(ctx, m.timing.RenewInterval/renewChecksPerInterval)
	}
}

// renewChecksPerInterval is how often a holder checks within RenewInterval whether a
// renewal is due.
const renewChecksPerInterval = 4

// verifyHolder reads the duty's key at intervals of VerifyInterval and ends the
// authority if the key's version is not the one that this process wrote. While the
// lease lasts, only a manual change of the key in the store can cause this.
func (c *campaign) verifyHolder(ctx context.Context, a *dutyAuthority) {
	m := c.manager
	for ctx.Err() == nil {
		clock.Sleep(ctx, m.timing.VerifyInterval)
		entry, err := m.read(ctx, c.duty)
		if err == nil && ctx.Err() == nil && entry.Version != external.Version(a.fencing) {
			a.end()
			return
		}
	}
}
