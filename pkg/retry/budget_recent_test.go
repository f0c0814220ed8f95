package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestChangedKindOfShareGrantsNothingForAWindow guards against retries that are granted
// twice for the same requests, by the bucket and by the last window, when daemons come
// and go and a share's burst passes one.
func TestChangedKindOfShareGrantsNothingForAWindow(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	shares := map[bool]Share{true: {Ratio: 0.5, Burst: 2, Window: 10 * time.Second}, false: {Ratio: 0.5, Burst: 0.9, Window: 10 * time.Second}}
	for large, share := range shares {
		b := NewBudget(share, at(0))
		for range 20 {
			b.Deposit()
		}
		must.True(t, b.Withdraw())
		for _, now := range []int{1, 5, 10} {
			b.Configure(shares[!large], at(now))
			b.Deposit()
			must.False(t, b.Withdraw(), must.Sprint(large, now))
		}
		b.Configure(shares[!large], at(11))
		for range 20 {
			b.Deposit()
		}
		must.True(t, b.Withdraw(), must.Sprint(large))
	}
}
