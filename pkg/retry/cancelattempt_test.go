package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestWithheldAttemptCostsNone guards against a withheld attempt taking one of the
// attempts that a request may make.
func TestWithheldAttemptCostsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Limits{MaxAttempts: 2, Deadline: now.Add(time.Second)}
	controller := NewController(Capabilities{Idempotent: true}, limits, NewBudget(Share{Burst: 1}, now))
	controller.BeginAttempt()
	controller.CancelAttempt()
	controller.BeginAttempt()
	must.Eq(t, Again, controller.AfterFailure(Sent, ConnectionLost, now))
	controller.BeginAttempt()
	must.Eq(t, EndUnknown, controller.AfterFailure(Sent, ConnectionLost, now))
}
