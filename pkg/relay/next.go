package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// nextAttempt places the next attempt. If the placement has separate engines for
// prefill and decode and the protocol supports it, the prompt is computed first. A
// failed prefill may be retried at another target; the retry is taken from the
// retry budget. A prompt is computed apart only once: after that, an attempt either
// takes over the KV cache or runs at one engine.
func (c *call) nextAttempt(ctx context.Context) (*attempt, error) {
	if a := c.next; a != nil {
		c.next = nil
		c.result.Attempts++
		c.result.Target = a.target
		return a, nil
	}
	prefiller, canPrefill := c.relay.protocol.(Prefiller)
	for {
		if err := c.checkSend(); err != nil {
			return nil, err
		}
		if err := c.checkVersion(); err != nil {
			return nil, err
		}
		if a := c.takeOverAttempt(); a != nil {
			return a, nil
		}
		placement, err := c.placeOrWait(ctx, canPrefill && !c.prefilled)
		if err != nil {
			return nil, err
		}
		if placement.Decode == nil || !canPrefill {
			return c.wholeAttempt(placement), nil
		}
		if a, err := c.attemptApart(ctx, prefiller, placement); a != nil || err != nil {
			return a, err
		}
	}
}

// attemptApart has the prompt computed at one engine, and returns the attempt that generates
// the answer at another. Without one and an error, the request is to be placed anew: the
// prefill failed and may be retried, or no engine can take over the KV cache.
func (c *call) attemptApart(ctx context.Context, prefiller Prefiller, placement routing.Placement) (*attempt, error) {
	source, err := c.prefill(ctx, prefiller, placement)
	if err == nil {
		c.prefilled = true
		return c.decodeAfter(placement.Decode, source)
	}
	c.relay.opts.Router.Done(c.req, placement.Decode.Record.Target)
	c.failedTargets = append(c.failedTargets, placement.Target.Record.Target)
	if !c.mayRetryPrefill(err) {
		return nil, notRunError(failureOf(err), err)
	}
	return nil, nil //nolint:nilnil // The request is to be placed anew.
}

// mayRetryPrefill reports whether another engine may compute the prompt after a
// prefill failed. One that was withheld costs no retry.
func (c *call) mayRetryPrefill(err error) bool {
	if errors.Is(err, errWithheld) {
		return c.mayReplaceWithheld()
	}
	failure := failureOf(err)
	if failure == retry.CallerGone || failure == retry.DeadlinePassed {
		return false
	}
	return c.retries.RetryPrefill(failure, time.Now())
}

// wholeAttempt returns the attempt that computes the prompt and the answer at one
// engine, or that starts there and moves to the engine for decode.
func (c *call) wholeAttempt(placement routing.Placement) *attempt {
	a := c.startAttempt(placement.Target, placement.Decode, KVSource{})
	if placement.CacheHolder != nil {
		a.cacheHolder = placement.CacheHolder.Record.Address
	}
	return a
}

// decodeAfter returns the attempt that generates the answer after prefill, unless the
// prompt turned out meanwhile to crash targets. Without one and an error, no engine can take
// over the KV cache.
func (c *call) decodeAfter(decode *fleet.TargetState, source KVSource) (*attempt, error) {
	if err := c.checkSend(); err != nil {
		c.relay.opts.Router.Done(c.req, decode.Record.Target)
		return nil, err
	}
	return c.decodeAttempt(decode, source), nil
}

// decodeAttempt returns the attempt that generates the answer after prefill. If
// the decode engine no longer accepts new work, another is chosen. It is nil if there is
// none.
func (c *call) decodeAttempt(decode *fleet.TargetState, source KVSource) *attempt {
	if c.acceptsNewWork(decode.Record.Target) {
		return c.startAttempt(decode, nil, source)
	}
	c.relay.opts.Router.Done(c.req, decode.Record.Target)
	c.failedTargets = append(c.failedTargets, decode.Record.Target)
	c.source = source
	return c.takeOverAttempt()
}

// acceptsNewWork reports whether a target that was chosen before still accepts new
// work, by the router's view.
func (c *call) acceptsNewWork(target ident.Target) bool {
	checker, ok := c.relay.opts.Router.(routing.AvailabilityChecker)
	return !ok || checker.AcceptsNewWork(target)
}

// takeOverAttempt returns the attempt that generates the answer from the kept KV
// cache at another engine, or nil if none is kept or no engine can take it over.
func (c *call) takeOverAttempt() *attempt {
	source := c.source
	c.source = KVSource{}
	if source == (KVSource{}) {
		return nil
	}
	state, err := c.chooseDecode(source)
	if err != nil {
		return nil
	}
	return c.startAttempt(state, nil, source)
}

// keepSource keeps the KV cache that a failed attempt was to take over, if it is
// still at the engine that computed it: the attempt sent nothing, or its target had
// no room.
func (c *call) keepSource(a *attempt, err error) {
	if a.phase == retry.Unsent || (failureOf(err) == retry.Rejected && a.load.Full()) {
		c.source = a.source
	}
}

// startAttempt returns a new attempt at a target, after counting it.
func (c *call) startAttempt(target, decode *fleet.TargetState, source KVSource) *attempt {
	a := newAttempt(c, target)
	a.decode, a.source = decode, source
	c.retries.BeginAttempt()
	c.result.Attempts++
	c.result.Target = a.target
	return a
}

// place returns where the next attempt runs; apart permits separate engines for
// prefill and decode. Only a stream of a model request can change its engine, so
// every other request gets a single target.
func (c *call) place(apart bool) (routing.Placement, error) {
	placer, ok := c.relay.opts.Router.(routing.Placer)
	if !ok || !c.req.Stream || c.req.Model == "" {
		state, err := c.choose()
		return routing.Placement{Target: state}, err
	}
	place := placer.PlaceWhole
	if apart || c.relay.opts.StreamMover != nil {
		place = placer.Place
	}
	return chooseLoosely(c, place)
}

// chooseLoosely returns the choice under the strictest constraints of the next attempt that
// allow one.
func chooseLoosely[T any](c *call, choose func(*request.Request, *routing.Constraints) (T, error)) (choice T, err error) {
	for _, constraints := range c.looserConstraints() {
		if choice, err = choose(c.req, constraints); err == nil {
			break
		}
	}
	return choice, err
}

// hasAlternative reports whether the request could now be sent to a target other than
// the excluded ones; apart permits separate engines for prefill and decode. It may be
// called while an exchange is in progress.
func (c *call) hasAlternative(excluded []ident.Target, apart bool) bool {
	checker, ok := c.relay.opts.Router.(routing.AlternativeChecker)
	return !ok || checker.HasAlternative(c.req, c.constraints(excluded), apart)
}

// mayPrefill reports whether the prompt may still be computed apart.
func (c *call) mayPrefill() bool {
	_, canPrefill := c.relay.protocol.(Prefiller)
	return canPrefill && !c.prefilled
}

// choose returns a target at which no attempt failed or, if there is none, any
// target.
func (c *call) choose() (*fleet.TargetState, error) {
	return chooseLoosely(c, c.relay.opts.Router.Choose)
}

// chooseDecode returns an engine that generates the answer from a KV cache, which must
// have the software version that wrote it. Those at which an attempt failed are excluded
// unless there are no others.
func (c *call) chooseDecode(source KVSource) (*fleet.TargetState, error) {
	choose := c.relay.opts.Router.Choose
	if placer, ok := c.relay.opts.Router.(routing.Placer); ok {
		choose = placer.ChooseDecode
	}
	constraints := routing.Constraints{Exclude: c.failedTargets, Version: &source.Version, UnknownVersion: c.restartedTargets(), SpareRoom: c.late}
	state, err := choose(c.req, &constraints)
	if err != nil && len(c.failedTargets) > 0 {
		constraints.Exclude = nil
		return choose(c.req, &constraints)
	}
	return state, err
}
