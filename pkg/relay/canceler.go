package relay

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

const (
	// cancelQueueSize bounds the queued cancels. Those beyond it are dropped;
	// the engine's own limit on kept streams ends them.
	cancelQueueSize = 256
	// maxConcurrentCancels bounds the cancels in progress.
	maxConcurrentCancels = 8
	// cancelTimeout bounds one cancel.
	cancelTimeout = 2 * time.Second
)

// canceler cancels abandoned attempts at their engines.
type canceler struct {
	client  *target.Client
	resumer Resumer
	metrics *metrics
	queue   chan pendingCancel
}

// pendingCancel identifies an attempt to be canceled, and its engine.
type pendingCancel struct {
	address string
	attempt ident.Attempt
}

// newCanceler returns a canceler with an empty queue.
func newCanceler(opts Options, resumer Resumer, m *metrics) *canceler {
	return &canceler{client: opts.Client, resumer: resumer, metrics: m, queue: make(chan pendingCancel, cancelQueueSize)}
}

// cancel queues the cancel of one attempt, or drops it if the queue is full.
func (c *canceler) cancel(address string, attempt ident.Attempt) {
	select {
	case c.queue <- pendingCancel{address: address, attempt: attempt}:
	default:
		c.metrics.cancels.WithLabelValues("dropped").Inc()
	}
}

// run sends queued cancels until ctx ends.
func (c *canceler) run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCancels)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case next := <-c.queue:
			group.Go(func() error {
				c.send(groupCtx, next)
				return nil
			})
		}
	}
}

// send sends one cancel. A failed cancel is not retried, since an engine that
// can't be reached ends its kept streams by itself.
func (c *canceler) send(ctx context.Context, next pendingCancel) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	outgoing, err := c.resumer.Cancel(ctx, next.address, next.attempt)
	if err != nil {
		c.metrics.cancels.WithLabelValues("failed").Inc()
		return
	}
	response, _, err := c.client.Do(outgoing, target.ReuseNone)
	if err != nil {
		c.metrics.cancels.WithLabelValues("failed").Inc()
		return
	}
	_ = response.Body.Close()
	c.metrics.cancels.WithLabelValues("sent").Inc()
}
