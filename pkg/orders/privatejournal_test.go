package orders_test

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/orders"
)

// privateJournal hides each process's journal from the others.
type privateJournal struct {
	external.Store
	host ident.Host
}

// CompareAndSwap writes journal entries under the host's private keys.
func (p privateJournal) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	swap.Key = p.privateKey(swap.Key)
	return p.Store.CompareAndSwap(ctx, swap)
}

// Get reads journal entries under the host's private keys.
func (p privateJournal) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	return p.Store.Get(ctx, p.privateKey(key))
}

// List reads journal entries under the host's private keys.
func (p privateJournal) List(ctx context.Context, prefix external.Key) ([]external.Entry, error) {
	return p.Store.List(ctx, p.privateKey(prefix))
}

// privateKey prefixes a journal key with the host. Other keys stay as they are.
func (p privateJournal) privateKey(key external.Key) external.Key {
	if len(key) >= len(orders.KeyPrefix) && key[:len(orders.KeyPrefix)] == orders.KeyPrefix {
		return external.Key(p.host) + "/" + key
	}
	return key
}
