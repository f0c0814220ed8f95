package lease

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// notFree marks a duty that was not free when last observed.
const notFree time.Duration = -1

// campaign is one process's attempt to become and stay the holder of one duty.
type campaign struct {
	manager *Manager
	duty    ident.Duty
	work    Work
	// freeSince is when the duty was first observed free, or notFree.
	freeSince time.Duration
	// unbrokenEra is the era to which the store rose while this process still held the
	// duty by its clock, so that no other process can hold it by a lease of before.
	unbrokenEra external.Era
}

// step observes the duty once and carries out the action that Decide returns.
func (c *campaign) step(ctx context.Context) {
	seen, version, err := c.observe(ctx)
	if err != nil {
		c.freeSince = notFree
		c.waitForPoll(ctx)
		return
	}
	switch c.manager.timing.Decide(seen) {
	case ActionIgnore, ActionWait:
		c.waitForPoll(ctx)
	case ActionDefer:
		remaining := c.manager.timing.AcquireDelay(seen.Rank, seen.HeldDuties) - seen.FreeFor
		clock.Sleep(ctx, remaining+time.Duration(c.manager.randomFloat()*float64(c.manager.timing.RankWait)/heldDutiesPerRank))
	case ActionAcquire:
		c.acquire(ctx)
	case ActionClear:
		c.manager.tryRelease(ctx, c.duty, version)
		c.waitForPoll(ctx)
	case ActionAdopt:
		if lease := c.manager.session.live(); lease != nil && lease.id == seen.Lease {
			c.hold(ctx, lease, version)
		}
	}
}

// observe reads the duty from the store. It makes no store call if the process
// does not compete for the duty.
func (c *campaign) observe(ctx context.Context) (Observation, external.Version, error) {
	m := c.manager
	seen := Observation{Ready: m.ready(), Rank: m.rank(c.duty), HeldDuties: m.HeldDuties(), Self: m.self}
	m.eraAge(m.opts.Clock.Now())
	if !m.timing.Competes(seen.Ready, seen.Rank) {
		c.freeSince = notFree
		return seen, external.NoVersion, nil
	}
	entry, err := m.read(ctx, c.duty)
	if err != nil {
		return seen, external.NoVersion, err
	}
	seen.Present = entry.Version != external.NoVersion
	seen.Lease = entry.Lease
	if lease := m.session.live(); lease != nil {
		seen.OwnLease = lease.id
	}
	now := m.opts.Clock.Now()
	seen.EraWait = c.eraWait(now)
	if seen.Present {
		c.freeSince = notFree
		record, err := decodeRecord(entry.Value)
		seen.Holder = record.Writer
		return seen, entry.Version, err
	}
	if c.freeSince == notFree {
		c.freeSince = now
	}
	seen.FreeFor = now - c.freeSince
	return seen, external.NoVersion, nil
}

// acquire tries to create the duty's key and, if that succeeds, holds the duty.
func (c *campaign) acquire(ctx context.Context) {
	m := c.manager
	c.freeSince = notFree
	lease, err := m.session.ensureLease(ctx)
	if err != nil {
		c.waitForPoll(ctx)
		return
	}
	version, err := m.create(ctx, c.duty, lease)
	if err == nil && lease.remaining() <= 0 {
		err = ErrLost
	}
	if err != nil {
		m.opts.Log.Debug("duty not taken", "duty", c.duty, "error", err)
		c.waitForPoll(ctx)
		return
	}
	c.hold(ctx, lease, version)
}

// waitForPoll sleeps until the next poll is due.
func (c *campaign) waitForPoll(ctx context.Context) {
	clock.Sleep(ctx, c.manager.timing.PollDelay(c.manager.randomFloat()))
}
