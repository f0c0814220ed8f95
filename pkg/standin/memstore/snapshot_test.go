package memstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// eraOf returns the era of the store's answer to one call.
func eraOf(t *testing.T, call func(ctx context.Context)) external.Era {
	t.Helper()
	recorder := &external.EraRecorder{}
	call(external.WithEraRecorder(t.Context(), recorder))
	_, era, answered := recorder.Eras()
	must.True(t, answered)
	return era
}

// TestRestoreGivesVersionsOutAgain guards against a stand-in that keeps what was written
// after the snapshot, or that doesn't repeat versions, lease IDs and cursors.
func TestRestoreGivesVersionsOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := New(clock.NewRuntime())
		old, err := s.Grant(ctx, 3*time.Second)
		must.NoError(t, err)
		kept, err := s.CompareAndSwap(ctx, external.Swap{Key: "kept", Value: []byte("1"), Lease: old})
		must.NoError(t, err)
		snapshot := s.Snapshot()
		lost, err := s.Grant(ctx, time.Minute)
		must.NoError(t, err)
		first, err := s.CompareAndSwap(ctx, external.Swap{Key: "lost", Value: []byte("a"), Lease: lost})
		must.NoError(t, err)
		_, err = s.CompareAndSwap(ctx, external.Swap{Key: "kept", Base: kept, Value: []byte("2")})
		must.NoError(t, err)
		changes, err := s.Watch(ctx, "", external.StartCursor)
		must.NoError(t, err)
		cut := make(chan error, 1)
		go func() {
			_, err := s.Watch(ctx, "", changes.Next)
			cut <- err
		}()
		synctest.Wait()
		time.Sleep(2 * time.Second)

		s.Restore(snapshot)
		must.Error(t, <-cut)
		must.ErrorIs(t, s.KeepAlive(ctx, lost), external.ErrLeaseNotFound)
		must.NoError(t, s.KeepAlive(ctx, old))
		entry, err := s.Get(ctx, "kept")
		must.NoError(t, err)
		must.Eq(t, "1", string(entry.Value))
		_, err = s.Get(ctx, "lost")
		must.ErrorIs(t, err, external.ErrKeyNotFound)
		_, err = s.Watch(ctx, "", changes.Next)
		must.ErrorIs(t, err, external.ErrHistoryGone)
		again, err := s.CompareAndSwap(ctx, external.Swap{Key: "lost", Value: []byte("b")})
		must.NoError(t, err)
		must.Eq(t, first, again)
		lease, err := s.Grant(ctx, time.Minute)
		must.NoError(t, err)
		must.Eq(t, lost, lease)
		must.Eq(t, external.Era(1), eraOf(t, func(ctx context.Context) { _ = s.KeepAlive(ctx, lease) }))
	})
}
