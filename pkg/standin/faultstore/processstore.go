package faultstore

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// ProcessStore is a store whose calls pass the boundaries of one process.
type ProcessStore struct {
	process *Process
	inner   external.Store
}

var _ external.Store = (*ProcessStore)(nil)

// NewProcessStore wraps a store with the failures of a process.
func NewProcessStore(process *Process, inner external.Store) *ProcessStore {
	return &ProcessStore{process: process, inner: inner}
}

// through makes one call between the two boundaries of the process.
func through[T any](p *Process, side Side, call func() (T, error)) (T, error) {
	var none T
	if err := p.Enter(side); err != nil {
		return none, err
	}
	value, err := call()
	if lost := p.Leave(side); lost != nil {
		return none, lost
	}
	return value, err
}

// Get forwards a read.
func (s *ProcessStore) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	return through(s.process, SideStore, func() (external.Entry, error) { return s.inner.Get(ctx, key) })
}

// List forwards a read.
func (s *ProcessStore) List(ctx context.Context, prefix external.Key) ([]external.Entry, error) {
	return through(s.process, SideStore, func() ([]external.Entry, error) { return s.inner.List(ctx, prefix) })
}

// CompareAndSwap forwards a write.
func (s *ProcessStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	// A write that was sent takes effect even if the sender's context ends.
	ctx = context.WithoutCancel(ctx)
	return through(s.process, SideStore, func() (external.Version, error) { return s.inner.CompareAndSwap(ctx, swap) })
}

// Delete forwards a write.
func (s *ProcessStore) Delete(ctx context.Context, key external.Key, version external.Version) error {
	ctx = context.WithoutCancel(ctx)
	_, err := through(s.process, SideStore, func() (struct{}, error) { return struct{}{}, s.inner.Delete(ctx, key, version) })
	return err
}

// Grant forwards a write.
func (s *ProcessStore) Grant(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	ctx = context.WithoutCancel(ctx)
	return through(s.process, SideStore, func() (external.LeaseID, error) { return s.inner.Grant(ctx, ttl) })
}

// KeepAlive forwards a write.
func (s *ProcessStore) KeepAlive(ctx context.Context, lease external.LeaseID) error {
	ctx = context.WithoutCancel(ctx)
	_, err := through(s.process, SideStore, func() (struct{}, error) { return struct{}{}, s.inner.KeepAlive(ctx, lease) })
	return err
}

// Revoke forwards a write.
func (s *ProcessStore) Revoke(ctx context.Context, lease external.LeaseID) error {
	ctx = context.WithoutCancel(ctx)
	_, err := through(s.process, SideStore, func() (struct{}, error) { return struct{}{}, s.inner.Revoke(ctx, lease) })
	return err
}

// Watch forwards a watch.
func (s *ProcessStore) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	return through(s.process, SideStore, func() (external.Changes, error) { return s.inner.Watch(ctx, prefix, after) })
}
