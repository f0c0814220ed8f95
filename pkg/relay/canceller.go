package relay

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

const (
	// cancelQueue bounds the cancels that wait. Those beyond it are dropped;
	// the engine's own bound on kept streams ends them.
	cancelQueue = 256
	// cancelsAtOnce bounds the cancels under way.
	cancelsAtOnce = 8
	// cancelTimeout bounds one cancel.
	cancelTimeout = 2 * time.Second
)

// canceller tells engines of attempts that nobody waits for.
type canceller struct {
	client  *target.Client
	keeper  Keeper
	metrics *metrics
	queue   chan cancelled
}

// cancelled is one attempt that nobody waits for.
type cancelled struct {
	address string
	attempt ident.Attempt
}

// newCanceller returns a canceller with an empty queue.
func newCanceller(opts Options, keeper Keeper, m *metrics) *canceller {
	return &canceller{client: opts.Client, keeper: keeper, metrics: m, queue: make(chan cancelled, cancelQueue)}
}

// cancel queues one attempt.
func (c *canceller) cancel(address string, attempt ident.Attempt) {
	select {
	case c.queue <- cancelled{address: address, attempt: attempt}:
	default:
		c.metrics.cancels.WithLabelValues("dropped").Inc()
	}
}

// run works the queue off until ctx ends.
func (c *canceller) run(ctx context.Context) error {
	group, sending := errgroup.WithContext(ctx)
	group.SetLimit(cancelsAtOnce)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case next := <-c.queue:
			group.Go(func() error {
				c.send(sending, next)
				return nil
			})
		}
	}
}

// send tells one engine. A failure needs no repeat, since an engine that can't
// be reached ends what it kept by itself.
func (c *canceller) send(ctx context.Context, next cancelled) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	outgoing, err := c.keeper.Cancel(ctx, next.address, next.attempt)
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
