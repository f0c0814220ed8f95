package relay

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/responsecheck"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// exchangeError is the failure of an exchange with a target, and its cause.
type exchangeError struct {
	failure retry.Failure
	cause   error
}

// Error returns the failure and its cause.
func (e *exchangeError) Error() string { return e.failure.String() + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *exchangeError) Unwrap() error { return e.cause }

// Causes of exchanges that failed without a connection error.
var (
	// errWrongAttempt means that a response is not identified as the response to
	// the attempt.
	errWrongAttempt = errors.New("the response does not belong to the attempt")
	// errEventOrder means that a stream's events are not consecutive.
	errEventOrder = errors.New("stream event out of order")
	// errNotStream means that the response from which a stream was to continue is
	// not a stream.
	errNotStream = errors.New("the response is not the continuation of the stream")
	// errNotContinued means that the response from which a stream was to continue ends
	// without an event.
	errNotContinued = errors.New("the continuation of the stream has no event")
	// errNoLength means that the end of a response can't be distinguished from a
	// broken connection.
	errNoLength = errors.New("the response has neither a content length nor chunked encoding")
	// errRefused means that the target reported that it failed or accepts no work.
	errRefused = errors.New("the target failed or accepts no work at present")
	// errAmbiguous means that the target's status means to callers that the request did not run,
	// which the target does not state.
	errAmbiguous = errors.New("the target's status means that the request did not run, which it does not state")
	// errRejected means that the target did not run the request.
	errRejected = errors.New("the target reported that it did not run the request")
	// errMisdirected means that the target did not run the request since it has another
	// role or identity than the request was sent for.
	errMisdirected = errors.New("the target reported that the request is not for it")
	// errStreamGone means that the target no longer holds the stream.
	errStreamGone = errors.New("the target no longer holds the stream")
	// errTooLarge means that a response exceeds the size limit.
	errTooLarge = errors.New("the response exceeds the size limit")
	// errHedgeLost means that the other attempt of a hedged request was answered
	// first.
	errHedgeLost = errors.New("another hedged attempt was answered first")
	// errAnswerLate means that an answer began as the deadline passed.
	errAnswerLate = errors.New("the answer began after the deadline")
	// errSilence means that no data arrived within the silence timeout.
	errSilence = errors.New("no data received within the silence timeout")
)

// failureOf returns the failure that an attempt ended with.
func failureOf(err error) retry.Failure {
	var failed *exchangeError
	if errors.As(err, &failed) {
		return failed.failure
	}
	return retry.ConnectionLost
}

// classify wraps a connection error with the failure that caused it.
func (a *attempt) classify(ctx context.Context, err error) error {
	a.observeMalformed(err)
	failure := a.call.failureFor(ctx, err)
	if failure == retry.Mismatch && a.phase == retry.Unsent {
		// What came before the request was sent is no response to it.
		failure = retry.ConnectionLost
	}
	return &exchangeError{failure: failure, cause: err}
}

// observeMalformed counts and logs a malformed response, if err is the error of one.
func (a *attempt) observeMalformed(err error) {
	malformed := responsecheck.As(err)
	if malformed == nil {
		return
	}
	relay := a.call.relay
	relay.metrics.malformed.WithLabelValues(string(malformed.Reason)).Inc()
	relay.opts.Log.Info("malformed response", "request", a.call.req.ID, "target", a.target, "reason", malformed.Reason, "error", malformed)
}

// failureFor returns the failure that caused err. It checks for the caller's
// disconnect, the silence timeout and the deadline first, because these end ctx and
// so cause the other errors.
func (c *call) failureFor(ctx context.Context, err error) retry.Failure {
	var operation *net.OpError
	malformed := responsecheck.As(err)
	switch {
	case errors.Is(err, errWithheld):
		return retry.ConnectFailed
	case c.caller.Err() != nil:
		return retry.CallerGone
	case errors.Is(context.Cause(ctx), errSilence):
		return retry.Silence
	case ctx.Err() != nil:
		return retry.DeadlinePassed
	case errors.Is(err, errTooLarge):
		return retry.TooLarge
	case errors.Is(err, errNotContinued):
		return retry.Mismatch
	case errors.Is(err, target.ErrFrameMalformed), errors.Is(err, target.ErrFrameTooLarge):
		// An event above the limit is one that doesn't end, as of a target in
		// trouble; another target may answer properly.
		return retry.Mismatch
	case malformed != nil && !malformed.ConnectionEnded():
		return retry.Mismatch
	case errors.As(err, &operation) && operation.Op == "dial":
		return retry.ConnectFailed
	}
	return retry.ConnectionLost
}
