package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestReservedRetryIsTakenOnce reserves a retry, also repeatedly, and then fails the
// attempt. It guards against a reserved retry that is withdrawn from the budget again, and
// against one that allows more attempts than the limits.
func TestReservedRetryIsTakenOnce(t *testing.T) {
	now := time.Now()
	budget := NewBudget(Share{Burst: 1}, now)
	c := NewController(Capabilities{Idempotent: true}, Limits{MaxAttempts: 2, Deadline: now.Add(time.Second)}, budget)
	c.BeginAttempt()
	must.True(t, c.Reserve(now))
	must.True(t, c.Reserve(now))
	must.Eq(t, Again, c.AfterFailure(Sent, Silence, now))
	c.BeginAttempt()
	must.False(t, c.Reserve(now), must.Sprint("no attempt is left"))
	must.Eq(t, EndUnknown, c.AfterFailure(Sent, Silence, now))

	other := NewController(Capabilities{Idempotent: true}, Limits{MaxAttempts: 2, Deadline: now.Add(time.Second)}, budget)
	other.BeginAttempt()
	must.False(t, other.Reserve(now), must.Sprint("the budget is empty"))
}
