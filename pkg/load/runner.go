package load

import (
	"context"
	"sync"
	"time"
)

// maxInFlight bounds the calls under way. A call that finds no room is counted
// as not started, so that the loop stays open.
const maxInFlight = 20_000

// Run makes the plan's calls and returns the report.
func Run(ctx context.Context, plan *Plan, caller *Caller) *Report {
	report := newReport()
	samples := make(chan Sample, 1024)
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for sample := range samples {
			report.add(&sample)
		}
	}()
	room := make(chan struct{}, maxInFlight)
	var wait sync.WaitGroup
	begun := time.Now()
	for call := range plan.All() {
		start := begun.Add(call.At)
		if !waitUntil(ctx, start) {
			break
		}
		select {
		case room <- struct{}{}:
		default:
			samples <- Sample{Call: call, Outcome: NotStarted}
			continue
		}
		wait.Go(func() {
			samples <- caller.Do(ctx, call, start)
			<-room
		})
	}
	wait.Wait()
	close(samples)
	<-reported
	report.Seconds = time.Since(begun).Seconds()
	return report
}

// waitUntil waits for a time, and reports false where ctx ends first.
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
