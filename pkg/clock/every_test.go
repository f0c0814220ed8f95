package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

func TestEveryRepeatsUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		calls := 0
		must.NoError(t, Every(ctx, time.Second, func() error {
			calls++
			return nil
		}))
		must.Eq(t, 11, calls)
	})
}

func TestEveryStopsAtFirstError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("no more")
		calls := 0
		must.ErrorIs(t, Every(t.Context(), time.Second, func() error {
			if calls++; calls == 3 {
				return failure
			}
			return nil
		}), failure)
		must.Eq(t, 3, calls)
	})
}
