package relay

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

const (
	// maxEnds is how many targets may end under one request before it is not retried any
	// more. Sound requests that share a target with one that ends it need one retry.
	maxEnds = 2
	// maxVerdictWait bounds the wait until it is known whether targets have ended.
	maxVerdictWait = 500 * time.Millisecond
)

// losses are the targets at which a request's connection was lost at the start of the
// answer. The zero value has none.
type losses struct {
	// pending receive whether a target has ended.
	pending []<-chan bool
	// ended counts the targets that have ended, or of which nothing was known in time.
	ended int
	// await is set if the last loss may have the request refused.
	await bool
}

// add adds a loss, unless nothing examines it.
func (l *losses) add(ended <-chan bool, await bool) {
	if ended != nil {
		l.pending = append(l.pending, ended)
		l.await = await
	}
}

// decide waits until it is known which targets have ended, at most maxVerdictWait.
func (l *losses) decide(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxVerdictWait)
	defer cancel()
	for _, verdict := range l.pending {
		select {
		case ended := <-verdict:
			if ended {
				l.ended++
			}
		case <-ctx.Done():
			l.ended++
		}
	}
	l.pending, l.await = nil, false
}

// afterLoss returns how a request continues after an attempt ended with a decision. A retry
// waits for the verdict on the last target if that may have the request refused. After
// maxEnds targets have ended there is no other retry. The end of a request never waits.
func (c *call) afterLoss(ctx context.Context, decision retry.Decision) retry.Decision {
	l := &c.losses
	if decision != retry.Again {
		return decision
	}
	if l.await || l.ended+len(l.pending) >= maxEnds {
		l.decide(ctx)
	}
	if l.ended >= maxEnds {
		return retry.EndUnknown
	}
	return decision
}
