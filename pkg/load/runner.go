package load

import (
	"context"
	"sync"
	"time"
)

// maxInFlight is the maximum number of calls in flight. Calls beyond it count as
// not started instead of waiting, since the load would then depend on the system's
// speed and no longer be open-loop.
const maxInFlight = 20_000

// Run makes the plan's calls and returns the report.
func Run(ctx context.Context, plan *Plan, caller *Caller) *Report {
	report := newReport()
	results := make(chan CallResult, 1024)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for result := range results {
			report.add(&result)
		}
	}()
	inFlight := make(chan struct{}, maxInFlight)
	var wait sync.WaitGroup
	started := time.Now()
	for call := range plan.All() {
		start := started.Add(call.At)
		if !waitUntil(ctx, start) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			results <- CallResult{Call: call, Outcome: NotStarted}
			continue
		}
		wait.Go(func() {
			results <- caller.Do(ctx, call, start)
			<-inFlight
		})
	}
	wait.Wait()
	close(results)
	<-collected
	report.Seconds = time.Since(started).Seconds()
	return report
}

// waitUntil waits until a time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
