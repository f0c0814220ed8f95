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
	// linkedNotice is the time in which linked daemons hear of engines that are
	// left out, followNotice that which those who follow the store need beside
	// the pause between two looks.
	linkedNotice = 150 * time.Millisecond
	followNotice = 300 * time.Millisecond
)

// report returns what the daemon tells those that it is linked to.
func (g *Gateway) report() backlog.Report {
	report := g.router.Models.TakeReport()
	report.Time = g.time.Now().UnixMilli()
	return report
}

// heard takes in what a linked daemon tells.
func (g *Gateway) heard(from ident.Host, report *backlog.Report) {
	if report.Daemons == 0 {
		g.agreement.AddSample(from, time.UnixMilli(report.Time))
	}
	g.router.Models.ObserveReport(report)
}

// announceAway has nothing sent to engines for a while, at all daemons, and
// returns once they know. Daemons that are not all linked are told through the
// store; it fails where that can't be written.
func (g *Gateway) announceAway(ctx context.Context, targets []ident.Target, d time.Duration) error {
	notice, linked := linkedNotice, g.backlog.ReachesAllDirectly()
	if !linked {
		notice = mirror.PauseFor(g.opts.KnownWithin) + followNotice
	}
	away := make([]backlog.Away, len(targets))
	for i, target := range targets {
		away[i] = backlog.Away{Target: target, Millis: (d + notice).Milliseconds()}
	}
	if !linked {
		if err := g.absence.Announce(ctx, away); err != nil {
			return err
		}
	}
	g.router.Models.ExcludeAndReport(away)
	clock.Sleep(ctx, notice)
	return nil
}
