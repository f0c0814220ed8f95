package gateway

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

const (
	// secretKey is the key of the secret that authenticates links between daemons.
	secretKey external.Key = "peers/secret"
	// secretTimeout bounds one attempt to read or create the secret.
	secretTimeout = time.Second
	// secretRetryInterval is the pause between attempts to read it.
	secretRetryInterval = 500 * time.Millisecond
	// secretRestoreTime is how long a daemon that starts after the store has come back
	// from an older copy waits for others to write the secret again, before it creates
	// one. They do that with their first call, which the mirror's pause bounds. It also
	// delays the links of a fleet that starts on a store whose first era is not 0.
	secretRestoreTime = 1500 * time.Millisecond
)

// waitForSecret returns the fleet's secret, and creates it if the store has none.
// It retries until it succeeds, and returns nil once ctx ends.
func (g *Gateway) waitForSecret(ctx context.Context) []byte {
	began := time.Now()
	for ctx.Err() == nil {
		secret, err := g.readOrCreateSecret(ctx, time.Since(began))
		if err == nil && len(secret) > 0 {
			return secret
		}
		if err != nil {
			g.opts.Log.Info("link secret neither read nor created, retrying", "error", err)
		}
		clock.Sleep(ctx, secretRetryInterval)
	}
	return nil
}

// readOrCreateSecret returns the secret in the store. If there is none it writes a
// random one and returns nil, since another daemon may have written its own first.
// The next read returns the one that is in the store. It creates none before the daemon
// has waited for secretRestoreTime if the store has lost data.
func (g *Gateway) readOrCreateSecret(ctx context.Context, waited time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, secretTimeout)
	defer cancel()
	entry, err := g.opts.Store.Get(ctx, secretKey)
	if !errors.Is(err, external.ErrKeyNotFound) {
		return entry.Value, err
	}
	if era, _ := external.EraOf(g.opts.Store); era > 0 && waited < secretRestoreTime {
		return nil, nil
	}
	return nil, g.createSecret(ctx, []byte(rand.Text()))
}

// createSecret writes a secret unless the store has one.
func (g *Gateway) createSecret(ctx context.Context, secret []byte) error {
	_, err := g.opts.Store.CompareAndSwap(ctx, external.Swap{Key: secretKey, Value: secret})
	if errors.Is(err, external.ErrVersionConflict) {
		return nil
	}
	return err
}

// keepSecret writes the secret of the links again when the store has come back from a
// copy without it, so that daemons that start later use the same one.
func (g *Gateway) keepSecret(ctx context.Context, secret []byte) {
	_, risen := external.EraOf(g.opts.Store)
	for {
		select {
		case <-ctx.Done():
			return
		case <-risen:
		}
		_, risen = external.EraOf(g.opts.Store)
		for g.rewriteSecret(ctx, secret) != nil && ctx.Err() == nil {
			clock.Sleep(ctx, secretRetryInterval)
		}
	}
}

// rewriteSecret writes the secret if the store has none.
func (g *Gateway) rewriteSecret(ctx context.Context, secret []byte) error {
	ctx, cancel := context.WithTimeout(ctx, secretTimeout)
	defer cancel()
	_, err := g.opts.Store.Get(ctx, secretKey)
	if !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	return g.createSecret(ctx, secret)
}
