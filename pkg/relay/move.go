package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// StreamMover moves running streams to another engine.
type StreamMover interface {
	// MustMove reports whether a stream that is expected to end at the given
	// time must leave its engine. It may be called after every event.
	MustMove(engine ident.Target, model ident.Model, end, now time.Time) bool
	// CopyKVCache copies an attempt's KV cache from one engine to another, where
	// the stream then continues. The first engine keeps its copy.
	CopyKVCache(ctx context.Context, attempt ident.Attempt, from, to *external.TargetRecord) error
}

const (
	// moveTimeout bounds the copying of one KV cache.
	moveTimeout = 3 * time.Second
	// moveRetryDelay is the least time between two attempts to move a stream.
	moveRetryDelay = time.Second
)

// errMoveDue ends an exchange whose stream must move to another engine.
var errMoveDue = errors.New("the stream must move to another engine")

// moveDue reports whether the stream must leave its engine now.
func (a *attempt) moveDue() bool {
	mover := a.call.relay.opts.StreamMover
	if mover == nil {
		return false
	}
	if a.decode != nil {
		return true
	}
	now := time.Now()
	if now.Before(a.moveAfter) {
		return false
	}
	return mover.MustMove(a.target, a.call.req.Model, a.expectedEnd(now), now)
}

// expectedEnd estimates when the stream ends, from its event rate so far.
func (a *attempt) expectedEnd(now time.Time) time.Time {
	result := &a.call.result
	left := a.call.req.MaxOutputTokens - int(result.Events)
	if result.Events < 2 || left <= 0 {
		return a.call.deadline.time()
	}
	gap := now.Sub(result.FirstAt) / time.Duration(result.Events-1)
	return now.Add(gap * time.Duration(left))
}

// moveToAnother moves the stream to another engine, where the attempt then
// continues. If that fails the attempt is unchanged, and the stream continues at
// its engine for as long as the engine exists.
func (a *attempt) moveToAnother(ctx context.Context) {
	a.moveAfter = time.Now().Add(moveRetryDelay)
	router := a.call.relay.opts.Router
	state, err := a.chooseSuccessor()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if err := a.copyKVCache(ctx, state); err != nil {
		a.call.relay.opts.Log.Warn("stream not moved", "request", a.call.req.ID, "from", a.target, "to", state.Record.Target, "error", err)
		router.Done(a.call.req, state.Record.Target)
		return
	}
	// Any failure other than Refused makes abandon cancel the stream at the old
	// engine.
	a.abandon(retry.Silence)
	router.Done(a.call.req, a.target)
	a.target, a.address, a.record = state.Record.Target, state.Record.Address, state.Record
	a.incarnation = state.Incarnation
	a.call.relay.metrics.moves.Inc()
}

// chooseSuccessor returns the engine that the stream moves to: the decode engine
// of its placement if it still accepts new work, or else another that does.
func (a *attempt) chooseSuccessor() (*fleet.TargetState, error) {
	if state := a.decode; state != nil {
		a.decode = nil
		if a.call.acceptsNewWork(state.Record.Target) {
			return state, nil
		}
		a.call.relay.opts.Router.Done(a.call.req, state.Record.Target)
	}
	failed := a.call.failedTargets[:len(a.call.failedTargets):len(a.call.failedTargets)]
	return a.call.relay.opts.Router.Choose(a.call.req, a.call.constraints(append(failed, a.target)))
}

// copyKVCache copies the KV cache to another engine.
func (a *attempt) copyKVCache(ctx context.Context, state *fleet.TargetState) error {
	from := &external.TargetRecord{Target: a.target, Address: a.address, Model: a.call.req.Model}
	return a.call.relay.opts.StreamMover.CopyKVCache(ctx, a.id, from, &state.Record)
}
