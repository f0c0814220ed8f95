package bytebudget

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// TestBudgetBoundsSum guards against users that hold more than the budget together, and against
// bytes that stay counted after they were refused or released.
func TestBudgetBoundsSum(t *testing.T) {
	b := New(10)
	var taken atomic.Int64
	var users sync.WaitGroup
	for range 20 {
		users.Go(func() {
			if b.Take(3) {
				taken.Add(3)
			}
		})
	}
	users.Wait()
	must.LessEq(t, 10, taken.Load())
	must.Eq(t, taken.Load(), b.Held())
	b.Release(taken.Load())
	must.True(t, b.Take(10))
	must.False(t, b.Take(1))
}

// TestUnboundedBudgets guards against a refusal without a bound.
func TestUnboundedBudgets(t *testing.T) {
	for _, b := range []*Budget{nil, New(0)} {
		must.True(t, b.Take(1<<40))
		b.Release(1 << 40)
		must.Zero(t, b.Held())
	}
}
