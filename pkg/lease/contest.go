package lease

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// notFree marks a duty that was not seen free at the last look.
const notFree time.Duration = -1

// contest is one process's competition for one duty.
type contest struct {
	manager *Manager
	duty    ident.Duty
	work    Work
	// freeSince is when the duty was first seen free, or notFree.
	freeSince time.Duration
}

// turn looks at the duty once and acts on what it sees.
func (c *contest) turn(ctx context.Context) {
	look, version, err := c.look(ctx)
	if err != nil {
		c.freeSince = notFree
		c.pause(ctx)
		return
	}
	switch c.manager.terms.Decide(look) {
	case ActionIgnore, ActionWait:
		c.pause(ctx)
	case ActionDefer:
		left := c.manager.terms.WaitOf(look.Rank, look.Held) - look.Free
		clock.Sleep(ctx, left+time.Duration(c.manager.draw()*float64(c.manager.terms.RankWait)/heldShare))
	case ActionAcquire:
		c.acquire(ctx)
	case ActionClear:
		c.manager.clear(ctx, c.duty, version)
		c.pause(ctx)
	case ActionAdopt:
		if t := c.manager.session.live(); t != nil && t.id == look.Lease {
			c.hold(ctx, t, version)
		}
	}
}

// look reads the duty, unless the process does not compete for it.
func (c *contest) look(ctx context.Context) (Look, external.Version, error) {
	m := c.manager
	look := Look{Ready: m.ready(), Rank: m.place(c.duty), Held: m.Held(), Self: m.self}
	if !m.terms.Competes(look.Ready, look.Rank) {
		c.freeSince = notFree
		return look, external.NoVersion, nil
	}
	entry, err := m.read(ctx, c.duty)
	if err != nil {
		return look, external.NoVersion, err
	}
	look.Present = entry.Version != external.NoVersion
	look.Lease = entry.Lease
	if t := m.session.live(); t != nil {
		look.OwnLease = t.id
	}
	if look.Present {
		c.freeSince = notFree
		record, err := decodeRecord(entry.Value)
		look.Holder = record.Writer
		return look, entry.Version, err
	}
	now := m.opts.Clock.Now()
	if c.freeSince == notFree {
		c.freeSince = now
	}
	look.Free = now - c.freeSince
	return look, external.NoVersion, nil
}

// acquire tries to take the duty and holds it where that succeeds.
func (c *contest) acquire(ctx context.Context) {
	m := c.manager
	c.freeSince = notFree
	t, err := m.session.open(ctx)
	if err != nil {
		c.pause(ctx)
		return
	}
	version, err := m.create(ctx, c.duty, t)
	if err != nil {
		m.opts.Log.Debug("duty not taken", "duty", c.duty, "error", err)
		c.pause(ctx)
		return
	}
	c.hold(ctx, t, version)
}

// pause waits for the next poll.
func (c *contest) pause(ctx context.Context) {
	clock.Sleep(ctx, c.manager.terms.PollAfter(c.manager.draw()))
}
