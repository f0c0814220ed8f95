package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/waitlist"
)

// waitShare is the share of its time that a request waits for room at most. The other part
// is for its run, or for the caller to come back to another daemon if it is refused.
const waitShare = 0.5

// placeOrWait returns where the next attempt runs. A request that no engine takes in time,
// and that has not run, waits for room for a part of its time.
func (c *call) placeOrWait(ctx context.Context, apart bool) (routing.Placement, error) {
	placement, err := c.place(apart)
	if err == nil || !c.mayWait(err) {
		return placement, err
	}
	if c.waitUntil.IsZero() {
		c.waitUntil = time.Now().Add(time.Duration(waitShare * float64(time.Until(c.deadline.time()))))
	}
	entry := waitlist.Entry{
		Workspace: c.req.Workspace, Urgency: c.req.Urgency, Deadline: c.deadline.time(),
		Cost: float64(1 + c.req.PromptTokens), Bytes: c.req.Body.Len(),
	}
	if version := c.version.Load(); version != nil {
		entry.Version = *version
	}
	c.late = true
	err = c.relay.opts.Waiting.Wait(ctx, c.req.Model, entry, c.waitUntil, err, func() (err error) {
		placement, err = c.place(apart)
		return err
	})
	c.late = false
	return placement, err
}

// mayWait reports whether a request that could not be placed may wait for room.
func (c *call) mayWait(err error) bool {
	if c.relay.opts.Waiting == nil || c.req.Model == "" || !errors.Is(err, routing.ErrNoRoom) || c.retries.MayHaveRun() {
		return false
	}
	return c.waitUntil.IsZero() || time.Now().Before(c.waitUntil)
}
