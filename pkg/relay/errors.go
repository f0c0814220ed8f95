package relay

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// retryAfter is how long callers are advised to wait after targets failed.
const retryAfter = 2 * time.Second

// failureReasons describes each failure to the caller.
var failureReasons = map[retry.Failure]string{
	retry.ConnectFailed:  "no target could be reached",
	retry.ConnectionLost: "the connection to the target was lost before the answer was complete",
	retry.Silence:        "the target sent no data within the silence timeout",
	retry.Mismatch:       "the target's response does not match the request",
	retry.Refused:        "no target accepts the request at present",
	retry.Rejected:       "no target accepts the request at present",
	retry.StreamGone:     "the target lost the stream before it was complete",
	retry.TooLarge:       "the target's response exceeds the size limit",
	retry.DeadlinePassed: "the request's deadline passed",
	retry.CallerGone:     "the caller disconnected",
}

// notRunError returns the error for a request that did not run.
func notRunError(failure retry.Failure, cause error) error {
	kind := fault.Unavailable
	if failure == retry.DeadlinePassed {
		kind = fault.Timeout
	}
	return fault.Wrap(cause, kind, failureReasons[failure], "send the request again after the time in Retry-After").WithRetryAfter(retryAfter)
}

// unknownError returns the error for a request that may have run.
func unknownError(req *request.Request, failure retry.Failure, cause error) error {
	kind := fault.Unknown
	if failure == retry.DeadlinePassed {
		kind = fault.Timeout
	}
	remedy := "check whether the request ran before sending it again"
	if req.Idempotent {
		remedy = "send the request again after the time in Retry-After; running it twice does no harm"
	}
	return fault.Wrap(cause, kind, failureReasons[failure], remedy).WithRetryAfter(retryAfter)
}
