package relay

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// exchangeError is how an exchange with a target failed.
type exchangeError struct {
	failure retry.Failure
	cause   error
}

// Error returns the failure and its cause.
func (e *exchangeError) Error() string { return e.failure.String() + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *exchangeError) Unwrap() error { return e.cause }

// Causes of exchanges that failed without an error of the connection.
var (
	// errWrongAttempt says that an answer bore another attempt's id.
	errWrongAttempt = errors.New("the answer bears another attempt's id")
	// errWrongEvent says that a stream's events do not count up.
	errWrongEvent = errors.New("the stream's event is out of order")
	// errNoLength says that an answer's end can't be told from a broken
	// connection.
	errNoLength = errors.New("the answer states no length")
	// errRefused says that the target takes no work.
	errRefused = errors.New("the target takes no work at present")
	// errRejected says that the target did not run the request.
	errRejected = errors.New("the target states that it did not run the request")
	// errStreamGone says that the target does not know the stream.
	errStreamGone = errors.New("the target does not hold the stream")
	// errTooLarge says that an answer exceeds its bound.
	errTooLarge = errors.New("the answer is too large")
	// errLost says that a hedged request was answered by its other attempt.
	errLost = errors.New("another attempt has answered")
	// errSilence says that nothing came in time.
	errSilence = errors.New("the stream brought nothing for too long")
)

// failureOf returns the failure that an attempt ended with.
func failureOf(err error) retry.Failure {
	var failed *exchangeError
	if errors.As(err, &failed) {
		return failed.failure
	}
	return retry.ConnectionLost
}

// classify finds the failure behind an error of a connection. The caller's
// leaving and the deadline come first, since they bring about the others.
func (c *call) classify(ctx context.Context, err error) error {
	return &exchangeError{failure: c.failureBehind(ctx, err), cause: err}
}

// failureBehind returns the failure behind an error.
func (c *call) failureBehind(ctx context.Context, err error) retry.Failure {
	var operation *net.OpError
	switch {
	case c.caller.Err() != nil:
		return retry.CallerGone
	case errors.Is(context.Cause(ctx), errSilence):
		return retry.Silence
	case ctx.Err() != nil:
		return retry.DeadlinePassed
	case errors.Is(err, target.ErrFrameTooLarge), errors.Is(err, errTooLarge):
		return retry.TooLarge
	case errors.Is(err, target.ErrFrameMalformed):
		return retry.Mismatch
	case errors.As(err, &operation) && operation.Op == "dial":
		return retry.ConnectFailed
	}
	return retry.ConnectionLost
}
