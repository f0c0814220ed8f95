package relay

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// retryAfter is the wait that a caller is advised after a failure of targets.
const retryAfter = 2 * time.Second

// reasons say what each failure means to the caller.
var reasons = map[retry.Failure]string{
	retry.ConnectFailed:  "no target could be reached",
	retry.ConnectionLost: "the connection to the target broke before the answer was whole",
	retry.Silence:        "the target brought nothing for too long",
	retry.Mismatch:       "the target's answer does not belong to the request",
	retry.Refused:        "no target takes the request at present",
	retry.Rejected:       "no target takes the request at present",
	retry.StreamGone:     "the target lost the answer before it was whole",
	retry.TooLarge:       "the target's answer exceeds its bound",
	retry.DeadlinePassed: "the request's deadline passed",
	retry.CallerGone:     "the caller left",
}

// notRunError tells the caller that nothing was sent.
func notRunError(failure retry.Failure, cause error) error {
	kind := fault.Unavailable
	if failure == retry.DeadlinePassed {
		kind = fault.Timeout
	}
	return fault.Wrap(cause, kind, reasons[failure], "send the request again after the time in Retry-After").After(retryAfter)
}

// unknownError tells the caller that the request may have run.
func unknownError(req *request.Request, failure retry.Failure, cause error) error {
	kind := fault.Unknown
	if failure == retry.DeadlinePassed {
		kind = fault.Timeout
	}
	remedy := "check whether the request ran before sending it again"
	if req.Idempotent {
		remedy = "send the request again after the time in Retry-After; running it twice does no harm"
	}
	return fault.Wrap(cause, kind, reasons[failure], remedy).After(retryAfter)
}
