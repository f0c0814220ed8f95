package storemeter

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// TestCallsAreCountedByKindAndResult makes one successful call of each kind, and
// two that fail.
func TestCallsAreCountedByKindAndResult(t *testing.T) {
	s := New(memstore.New(clock.Boot{}), prometheus.NewRegistry())
	ctx := t.Context()
	lease, err := s.Grant(ctx, time.Minute)
	must.NoError(t, err)
	must.NoError(t, s.KeepAlive(ctx, lease))
	version, err := s.CompareAndSwap(ctx, external.Swap{Key: "k", Value: []byte("v"), Lease: lease})
	must.NoError(t, err)
	_, err = s.CompareAndSwap(ctx, external.Swap{Key: "k", Value: []byte("v")})
	must.ErrorIs(t, err, external.ErrVersionConflict)
	_, err = s.Get(ctx, "k")
	must.NoError(t, err)
	_, err = s.List(ctx, "k")
	must.NoError(t, err)
	_, err = s.Watch(ctx, "k", external.StartCursor)
	must.NoError(t, err)
	must.NoError(t, s.Delete(ctx, "k", version))
	must.NoError(t, s.Revoke(ctx, lease))
	_, err = s.Get(ctx, "k")
	must.ErrorIs(t, err, external.ErrKeyNotFound)
	for _, call := range []string{callGet, callList, callSwap, callDelete, callGrant, callRenew, callRevoke, callWatch} {
		must.Eq(t, 1.0, testutil.ToFloat64(s.calls.WithLabelValues(call, resultDone)), must.Sprint(call))
	}
	must.Eq(t, 1.0, testutil.ToFloat64(s.calls.WithLabelValues(callSwap, "conflict")))
	must.Eq(t, 1.0, testutil.ToFloat64(s.calls.WithLabelValues(callGet, "not_found")))
}
