package relay

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// attempt is one send of a request to one target.
type attempt struct {
	call    *call
	id      ident.Attempt
	target  ident.Target
	address string
	// record is the target as it was chosen.
	record external.TargetRecord
	// source is the KV cache that the answer goes on from, or empty.
	source Source
	// holder is where a part of the prompt is fetched from, or empty.
	holder string
	// began is when the attempt was made.
	began time.Time
	// phase only rises.
	phase retry.Phase
	// last is the id of the last event that was taken.
	last uint64
	// lastData is that event's data. The one before the end marker bears the
	// usage.
	lastData []byte
	// usage is what the target stated.
	usage request.Figures
	// refusal is the target's answer that it takes no work.
	refusal *answer
	// quiet counts the resumes since the last event.
	quiet int
	// decode is the engine that takes the stream over once the prompt is
	// computed. It is nil where there is none, or none any more.
	decode *fleet.TargetState
	// moveAfter is when the stream may next be moved.
	moveAfter time.Time
	pause     backoff.BackOff
	// win reports whether the attempt is the one that may answer. It is nil
	// where there is no other.
	win func() bool
}

// newAttempt returns an attempt that has sent nothing.
func newAttempt(c *call, state *fleet.TargetState) *attempt {
	return &attempt{
		call: c, id: ident.Attempt(uuid.NewString()), target: state.Record.Target,
		address: state.Record.Address, record: state.Record, pause: newPause(), last: c.last, began: time.Now(),
	}
}

const (
	// firstPause and longestPause bound the pauses between resumes.
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
)

// newPause returns the growing pauses between resumes.
func newPause() backoff.BackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longestPause
	return pause
}

// make sends the request and carries the answer back, over as many exchanges
// as the stream needs. It returns nil once the caller has the whole answer,
// else the error with what is to follow.
func (a *attempt) make(ctx context.Context) (retry.Decision, error) {
	err := a.first(ctx)
	for err != nil {
		if errors.Is(err, errMoveDue) {
			a.move(ctx)
			err = a.resume(ctx)
			continue
		}
		failure := failureOf(err)
		decision := a.call.failed(a, failure)
		if decision != retry.Resume {
			a.abandon(failure)
			return decision, err
		}
		if !a.wait(ctx) {
			err = a.call.classify(ctx, ctx.Err())
			continue
		}
		err = a.resume(ctx)
	}
	return retry.HandOn, nil
}

// wait pauses before a resume, unless the attempt was making progress.
func (a *attempt) wait(ctx context.Context) bool {
	a.quiet++
	if a.quiet == 1 {
		a.pause.Reset()
		return ctx.Err() == nil
	}
	timer := time.NewTimer(a.pause.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// progress notes that the attempt has brought an event.
func (a *attempt) progress() {
	a.quiet = 0
	a.call.run.Progress()
}

// abandon has the engine told that nobody waits for the attempt any more.
func (a *attempt) abandon(failure retry.Failure) {
	if a.call.relay.protocol.Keeper() == nil || a.call.req.Model == "" || a.phase == retry.Unsent || failure == retry.Refused {
		return
	}
	a.call.relay.canceller.cancel(a.address, a.id)
}

// reached raises the phase.
func (a *attempt) reached(phase retry.Phase) { a.phase = max(a.phase, phase) }
