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
	must.True(t, c.Reserve(Sent, now))
	must.True(t, c.Reserve(Sent, now))
	must.Eq(t, Again, c.AfterFailure(Sent, Silence, now))
	c.BeginAttempt()
	must.False(t, c.Reserve(Sent, now), must.Sprint("no attempt is left"))
	must.Eq(t, EndUnknown, c.AfterFailure(Sent, Silence, now))

	other := NewController(Capabilities{Idempotent: true}, Limits{MaxAttempts: 2, Deadline: now.Add(time.Second)}, budget)
	other.BeginAttempt()
	must.False(t, other.Reserve(Sent, now), must.Sprint("the budget is empty"))
	must.True(t, other.Reserve(Unsent, now), must.Sprint("what was never sent is free"))
	must.Eq(t, EndUnknown, other.AfterFailure(Sent, Silence, now), must.Sprint("nothing was taken for it"))
}

// TestReservedRetryIsUsedOnce guards against a reserved retry that pays for every retry
// after it.
func TestReservedRetryIsUsedOnce(t *testing.T) {
	now := time.Now()
	c := NewController(Capabilities{Idempotent: true}, Limits{MaxAttempts: 5, Deadline: now.Add(time.Second)}, NewBudget(Share{Burst: 1}, now))
	c.BeginAttempt()
	must.True(t, c.Reserve(Sent, now))
	must.Eq(t, Again, c.AfterFailure(Sent, Silence, now))
	c.BeginAttempt()
	must.Eq(t, EndUnknown, c.AfterFailure(Sent, ConnectionLost, now))
}
