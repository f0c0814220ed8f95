package entry

import (
	"net/http"
	"runtime/debug"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// errInternal is returned for a request whose processing failed unexpectedly.
var errInternal = fault.New(fault.Internal, "the daemon failed unexpectedly", "check whether the request ran before sending it again")

// recoverPanic ends a request whose processing panicked with a failure response, or by
// closing the connection if the response has begun. It must be deferred.
func (s *session) recoverPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	if reason == http.ErrAbortHandler { //nolint:errorlint // The value is compared as net/http does.
		panic(reason)
	}
	s.handler.opts.Log.Error("unexpected failure contained, report it as a bug",
		"doing", "serving a request", "request", s.id, "reason", reason, "stack", string(debug.Stack()))
	if s.writer.status != 0 || s.lifecycle.State().Final() {
		panic(http.ErrAbortHandler)
	}
	outcome := request.NotRun
	if s.lifecycle.State() >= request.Attempting {
		outcome = request.Unknown
	}
	s.fail(outcome, errInternal)
}
