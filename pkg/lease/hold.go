package lease

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// ending tells why a hold ended.
type ending string

// The endings.
const (
	// endingStopped is a planned stop.
	endingStopped ending = "stopped"
	// endingReturned is work that returned by itself.
	endingReturned ending = "returned"
	// endingLost is authority that ended.
	endingLost ending = "lost"
)

// hold runs the work under the authority until either ends. The duty is
// released only after the work has returned.
func (c *contest) hold(ctx context.Context, t *tenure, version external.Version) {
	m := c.manager
	g := &grant{duty: c.duty, fencing: ident.Fencing(version), tenure: t, over: make(chan struct{})}
	m.held.Add(1)
	m.metrics.held.Inc()
	m.metrics.acquisitions.Inc()
	m.opts.Log.Info("duty taken", "duty", c.duty, "fencing", g.fencing)
	workCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	var upkeep sync.WaitGroup
	upkeep.Go(func() { c.renew(workCtx, t) })
	upkeep.Go(func() { c.verify(workCtx, g) })
	go func() {
		defer close(done)
		if err := c.work(workCtx, g); err != nil && workCtx.Err() == nil {
			m.opts.Log.Warn("duty's work failed", "duty", c.duty, "error", err)
		}
	}()
	end := c.watch(ctx, g, done)
	if end != endingLost {
		// A stopping holder keeps its authority until its work is done, so
		// that a send in flight is recorded.
		c.finish(t, cancel, done)
	}
	cancel()
	g.end()
	<-done
	upkeep.Wait()
	m.held.Add(-1)
	m.metrics.held.Dec()
	m.opts.Log.Info("duty ended", "duty", c.duty, "fencing", g.fencing, "ending", end)
	c.after(ctx, end, version)
}

// watch waits until the hold must end and says why.
func (c *contest) watch(ctx context.Context, g *grant, done <-chan struct{}) ending {
	for {
		timer := time.NewTimer(max(g.tenure.left(), 0))
		select {
		case <-ctx.Done():
			timer.Stop()
			return endingStopped
		case <-done:
			timer.Stop()
			return endingReturned
		case <-g.tenure.ended:
			timer.Stop()
			return endingLost
		case <-g.over:
			timer.Stop()
			return endingLost
		case <-timer.C:
		}
		if g.tenure.left() <= 0 {
			g.tenure.end()
			return endingLost
		}
	}
}

// finish asks the work to return and waits for it while the tenure lasts.
func (c *contest) finish(t *tenure, cancel context.CancelFunc, done <-chan struct{}) {
	cancel()
	timer := time.NewTimer(max(t.left(), 0))
	defer timer.Stop()
	select {
	case <-done:
	case <-t.ended:
	case <-timer.C:
	}
}

// after releases the duty, or counts its loss.
func (c *contest) after(ctx context.Context, end ending, version external.Version) {
	switch end {
	case endingLost:
		c.manager.metrics.losses.Inc()
	case endingStopped:
		c.manager.release(c.duty, version)
	case endingReturned:
		// Where this fails, the next look adopts the duty again.
		c.manager.clear(ctx, c.duty, version)
		c.pause(ctx)
	}
}

// renew keeps the tenure alive until ctx ends.
func (c *contest) renew(ctx context.Context, t *tenure) {
	m := c.manager
	for ctx.Err() == nil && t.left() > 0 {
		m.session.renew(ctx, t)
		clock.Sleep(ctx, m.terms.RenewEvery/renewLooks)
	}
}

// renewLooks is how often per renewal period a holder looks whether one is due.
const renewLooks = 4

// verify reads the duty's key now and then and ends the authority where the key
// names another holder, which happens only if it was changed by hand.
func (c *contest) verify(ctx context.Context, g *grant) {
	m := c.manager
	for ctx.Err() == nil {
		clock.Sleep(ctx, m.terms.VerifyEvery)
		entry, err := m.read(ctx, c.duty)
		if err == nil && ctx.Err() == nil && entry.Version != external.Version(g.fencing) {
			g.end()
			return
		}
	}
}
