package gateway

import (
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// noticeRecorder returns a function that records notices of a target's incarnation in
// the present view, in the answer to a call that is made now.
func (g *Gateway) noticeRecorder(target ident.Target) func(notice fleet.TargetNotice) {
	incarnation, _ := g.incarnationOf(target)
	sentAt := time.Now()
	return func(notice fleet.TargetNotice) {
		g.router.ObserveNotice(target, incarnation, notice)
		g.router.ObserveLimit(target, incarnation, sentAt, notice.Limit)
	}
}

// withheld returns why nothing may be sent to a target by its own word, or nil.
func (g *Gateway) withheld(state *fleet.TargetState) error {
	return g.router.CheckSend(state.Record.Target, state.Incarnation)
}

// leaving reports whether a target stated that it leaves.
func (g *Gateway) leaving(state *fleet.TargetState) bool {
	return errors.Is(g.withheld(state), routing.ErrLeaving)
}

// paused reports whether a target accepts nothing from this daemon for now: it asked for a
// pause that has not ended, or limits its requests.
func (g *Gateway) paused(state *fleet.TargetState) bool {
	err := g.withheld(state)
	return errors.Is(err, routing.ErrPaused) || errors.Is(err, routing.ErrLimited)
}

// targetEnded logs that a target's process has ended. If one accepts connections there before the
// target's entry was read anew, its software version is not known.
func (g *Gateway) targetEnded(target ident.Target, incarnation ident.Incarnation) {
	g.opts.Log.Info("target's process ended", "target", target, "incarnation", incarnation)
}

// targetNoticed counts and logs that a target stated something about itself.
func (g *Gateway) targetNoticed(target ident.Target, notice fleet.TargetNotice) {
	switch {
	case notice.Leaving:
		g.metrics.notices.WithLabelValues("leaving").Inc()
		g.opts.Log.Info("target leaving by its own answer", "target", target)
	case notice.MalformedPause != "":
		g.metrics.notices.WithLabelValues("malformed").Inc()
		g.opts.Log.Warn("pause of a target malformed", "target", target, "text", notice.MalformedPause, "taken", notice.Pause)
	case notice.Limit.Malformed != "":
		g.metrics.notices.WithLabelValues("limit malformed").Inc()
		g.opts.Log.Warn("limit of a target malformed", "target", target, "text", notice.Limit.Malformed, "taken", notice.Limit.PerSecond)
	default:
		g.metrics.notices.WithLabelValues("paused").Inc()
		g.opts.Log.Info("target paused", "target", target, "pause", notice.Pause)
	}
}
