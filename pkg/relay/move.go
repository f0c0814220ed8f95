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

// Moves has running streams taken over by another engine.
type Moves interface {
	// Due reports whether a stream whose end is expected at the given time
	// must leave its engine. It is asked at every event.
	Due(engine ident.Target, model ident.Model, end, now time.Time) bool
	// Copy has the KV cache of an attempt copied from one engine to another,
	// where the stream then goes on. The first engine keeps its own.
	Copy(ctx context.Context, attempt ident.Attempt, from, to *external.TargetRecord) error
}

const (
	// moveTimeout bounds the copying of one KV cache.
	moveTimeout = 3 * time.Second
	// movePause is the least time between two tries to move a stream.
	movePause = time.Second
)

// errMoveDue ends an exchange whose stream must leave its engine.
var errMoveDue = errors.New("the stream must leave its engine")

// moveDue reports whether the stream must leave its engine now.
func (a *attempt) moveDue() bool {
	moves := a.call.relay.opts.Moves
	if moves == nil {
		return false
	}
	if a.decode != nil {
		return true
	}
	now := time.Now()
	if now.Before(a.moveAfter) {
		return false
	}
	return moves.Due(a.target, a.call.req.Model, a.expectedEnd(now), now)
}

// expectedEnd reckons when the stream ends at its pace so far.
func (a *attempt) expectedEnd(now time.Time) time.Time {
	result := &a.call.result
	left := a.call.req.MaxOutputTokens - int(result.Events)
	if result.Events < 2 || left <= 0 {
		return a.call.req.Deadline
	}
	gap := now.Sub(result.FirstAt) / time.Duration(result.Events-1)
	return now.Add(gap * time.Duration(left))
}

// move has another engine take the stream over and points the attempt there. It
// leaves the attempt as it is where that fails, so that the stream goes on at
// its engine for as long as that is there.
func (a *attempt) move(ctx context.Context) {
	a.moveAfter = time.Now().Add(movePause)
	router := a.call.relay.opts.Router
	state, err := a.successor()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if err := a.copyTo(ctx, state); err != nil {
		a.call.relay.opts.Log.Warn("stream not moved", "request", a.call.req.ID, "from", a.target, "to", state.Record.Target, "error", err)
		router.Done(a.call.req, state.Record.Target)
		return
	}
	a.abandon(retry.Silence)
	router.Done(a.call.req, a.target)
	a.target, a.address, a.record = state.Record.Target, state.Record.Address, state.Record
	a.call.relay.metrics.moves.Inc()
}

// successor returns the engine that the stream goes to: the one that was placed
// for its answer, or another that takes new work.
func (a *attempt) successor() (*fleet.TargetState, error) {
	if state := a.decode; state != nil {
		a.decode = nil
		return state, nil
	}
	failed := a.call.failedAt[:len(a.call.failedAt):len(a.call.failedAt)]
	return a.call.relay.opts.Router.Choose(a.call.req, append(failed, a.target))
}

// copyTo has the KV cache copied to another engine.
func (a *attempt) copyTo(ctx context.Context, state *fleet.TargetState) error {
	from := &external.TargetRecord{Target: a.target, Address: a.address, Model: a.call.req.Model}
	return a.call.relay.opts.Moves.Copy(ctx, a.id, from, &state.Record)
}
