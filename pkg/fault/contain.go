package fault

import (
	"log/slog"
	"runtime/debug"
)

// Contain calls f and reports whether it returned. A panic in f is logged with what was
// being done and ends only the call, so that one piece of input can't end the process.
func Contain(log *slog.Logger, doing string, f func()) (returned bool) {
	defer func() {
		if reason := recover(); reason != nil {
			log.Error("unexpected failure contained, report it as a bug", "doing", doing, "reason", reason, "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}
