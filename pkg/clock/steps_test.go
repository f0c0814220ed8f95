package clock

import (
	"bytes"
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestWallClockStepsAreLogged steps the wall clock forward and back and expects one
// log line for each step.
func TestWallClockStepsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var step atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		wallClock := func() time.Time { return time.Now().Add(time.Duration(step.Load())) }
		go watchSteps(ctx, NewRuntime(), wallClock, slog.New(slog.NewTextHandler(&out, nil)))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		must.Eq(t, "", out.String())
		step.Store(int64(3 * time.Second))
		time.Sleep(2 * time.Second)
		step.Store(0)
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		must.StrContains(t, out.String(), "by=3s")
		must.StrContains(t, out.String(), "by=-3s")
		must.Eq(t, 2, bytes.Count(out.Bytes(), []byte("\n")))
	})
}
