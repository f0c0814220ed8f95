package gateway

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

const (
	// linkedDelay is the time within which linked daemons receive an exclusion.
	// storeDelay is the time that daemons need to read it from the store, in
	// addition to the mirror's pause between two reads.
	linkedDelay = 150 * time.Millisecond
	storeDelay  = 300 * time.Millisecond
)

// localReport returns the report that is sent to a number of linked daemons.
func (g *Gateway) localReport(receivers int) backlog.Report {
	report := g.router.Models.TakeReport()
	report.Time = g.time.Now().UnixMilli()
	report.Limits = g.targetLimits.Due()
	report.Begun = g.origins.table.TakeUnsent()
	report.Probed = g.router.TakeProbeResults()
	report.Times = g.capacity.TakeSummary(receivers, time.Now())
	return report
}

// observeReport processes the report of a linked daemon.
func (g *Gateway) observeReport(from ident.Host, report *backlog.Report) {
	// Only a report of the sender alone, where Daemons is zero, has a time.
	if report.Daemons == 0 {
		g.timeCorrector.AddSample(from, time.UnixMilli(report.Time))
	}
	g.targetLimits.Learn(report.Limits)
	g.origins.table.Learn(report.Begun)
	g.router.LearnProbeResults(report.Probed)
	g.capacity.MergeSummary(report.Times, time.Now())
	g.router.Models.ObserveReport(report)
}

// announceExclusion excludes engines from new work for a duration at all daemons,
// and returns after the time in which the exclusion reaches them. If not all
// daemons have a direct link to this one, it is also announced through the store;
// announceExclusion fails if the store can't be written.
func (g *Gateway) announceExclusion(ctx context.Context, targets []ident.Target, d time.Duration) error {
	delay, linked := linkedDelay, g.backlog.ReachesAllDirectly()
	if !linked {
		delay = mirror.PauseFor(g.opts.PropagationBound) + storeDelay
	}
	exclusions := make([]backlog.Exclusion, len(targets))
	for i, target := range targets {
		exclusions[i] = backlog.Exclusion{Target: target, Millis: (d + delay).Milliseconds()}
	}
	if !linked {
		if err := g.exclusions.Announce(ctx, exclusions); err != nil {
			return err
		}
	}
	g.router.Models.ExcludeAndReport(exclusions)
	clock.Sleep(ctx, delay)
	return nil
}
