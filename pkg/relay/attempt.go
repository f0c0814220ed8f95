package relay

import (
	"context"
	"slices"
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
	// incarnation is the target's at the time it was chosen.
	incarnation ident.Incarnation
	// record is the target's record at the time it was chosen.
	record external.TargetRecord
	// source is the KV cache from which the answer is generated, or empty.
	source KVSource
	// cacheHolder is the address from which a part of the prompt's KV cache is
	// fetched, or empty.
	cacheHolder string
	// excluded are the targets at which the request failed before, and the attempt's
	// own.
	excluded []ident.Target
	// mayPrefill reports whether the next attempt may have the prompt computed apart.
	mayPrefill bool
	// sent is the exchange that was begun in advance, or nil.
	sent *exchange
	// successor takes the attempt's place, seconds are the attempts that did not. All
	// were begun while the target was silent.
	successor *attempt
	seconds   []*attempt
	// err is how a second attempt failed.
	err error
	// silenceLogged is set once the attempt has logged that its target is silent.
	silenceLogged bool
	// continues reports whether the caller had a part of the answer when the attempt was
	// created.
	continues bool
	// began is when the attempt was created.
	began time.Time
	// phase is how far the attempt has progressed; it never decreases.
	phase retry.Phase
	// lastEvent is the ID of the last event that was written to the caller, or
	// that the caller had received before it sent the request.
	lastEvent uint64
	// status is the status of the target's last response, or zero.
	status int
	// lastData is the data of the last event before the end marker, which
	// carries the usage.
	lastData []byte
	// usage is the token usage that the target reported.
	usage request.TokenUsage
	// load is the load that came with the target's last response, or zero.
	load fleet.LoadReport
	// notice is what the target stated about itself in its last response.
	notice fleet.TargetNotice
	// refusal is the response by which the target refused the request, or nil.
	refusal *bufferedResponse
	// idleResumes counts the resumes since the last event.
	idleResumes int
	// decode is the engine that takes over the stream after prefill. It is nil
	// if there is none, or once a move to it was tried.
	decode *fleet.TargetState
	// moveAfter is the earliest time of the next move.
	moveAfter     time.Time
	resumeBackoff backoff.BackOff
	// claimAnswer claims the answer to the caller for this attempt. It reports
	// false if the other attempt of a hedged request has already claimed it. It
	// is nil for requests that are not hedged.
	claimAnswer func() bool
}

// newAttempt returns an attempt that has not sent anything.
func newAttempt(c *call, state *fleet.TargetState) *attempt {
	a := newAttemptAt(c, state, c.failedTargets)
	a.mayPrefill, a.continues, a.lastEvent = c.mayPrefill(), c.begun, c.lastEvent
	return a
}

// newAttemptAt returns an attempt at a target that is not among the excluded ones. It may
// be called while another attempt is in progress.
func newAttemptAt(c *call, state *fleet.TargetState, excluded []ident.Target) *attempt {
	return &attempt{
		call: c, id: ident.Attempt(uuid.NewString()), target: state.Record.Target,
		excluded: append(slices.Clone(excluded), state.Record.Target), address: state.Record.Address,
		incarnation: state.Incarnation, record: state.Record, resumeBackoff: newResumeBackoff(), began: time.Now(),
	}
}

const (
	// initialResumeDelay and maxResumeDelay bound the delay between resumes.
	initialResumeDelay = 20 * time.Millisecond
	maxResumeDelay     = time.Second
)

// newResumeBackoff returns an exponential backoff between resumes.
func newResumeBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialResumeDelay
	b.MaxInterval = maxResumeDelay
	return b
}

// run sends the request and relays the answer, over as many exchanges as the
// stream needs. It returns a nil error once the caller has the whole answer.
// Otherwise it returns the error and how to continue.
func (a *attempt) run(ctx context.Context) (retry.Decision, error) {
	err := a.sendFirst(ctx)
	if a.successor != nil {
		a.handOver(err)
		return retry.Again, err
	}
	if errors.Is(err, errWithheld) {
		return a.call.afterWithheld(), err
	}
	for err != nil {
		if errors.Is(err, errMoveDue) {
			a.moveToAnother(ctx)
			err = a.resume(ctx)
			continue
		}
		failure := failureOf(err)
		decision := a.call.decide(a, failure)
		if decision != retry.Resume {
			a.abandon(failure)
			return decision, err
		}
		if !a.waitBeforeResume(ctx) {
			err = a.classify(ctx, ctx.Err())
			continue
		}
		err = a.resume(ctx)
	}
	return retry.Forward, nil
}

// waitBeforeResume delays a resume, unless it is the first since the last event.
// It reports false if ctx ends.
func (a *attempt) waitBeforeResume(ctx context.Context) bool {
	a.idleResumes++
	if a.idleResumes == 1 {
		a.resumeBackoff.Reset()
		return ctx.Err() == nil
	}
	timer := time.NewTimer(a.resumeBackoff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordProgress records that the attempt has received an event.
func (a *attempt) recordProgress() {
	a.idleResumes = 0
	a.call.retries.RecordProgress()
}

// abandon queues a cancel of the attempt at its engine, if the engine may hold a
// stream for it.
func (a *attempt) abandon(failure retry.Failure) {
	if a.call.relay.protocol.Resumer() == nil || a.call.req.Model == "" || a.phase == retry.Unsent || failure == retry.Refused {
		return
	}
	a.call.relay.canceler.cancel(a.address, a.id)
}

// answerBegun reports whether the caller has a part of the answer, from this attempt or
// from one before it.
func (a *attempt) answerBegun() bool { return a.continues || a.phase == retry.Streaming }

// advanceTo raises the phase.
func (a *attempt) advanceTo(phase retry.Phase) { a.phase = max(a.phase, phase) }
