package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// verdict is what becomes known of a target after some time, or never if that is zero.
type verdict struct {
	after time.Duration
	ended bool
}

// channel returns the channel that receives the verdict.
func (v verdict) channel() <-chan bool {
	decided := make(chan bool, 1)
	if v.after > 0 {
		time.AfterFunc(v.after, func() { decided <- v.ended })
	}
	return decided
}

// TestRetriesAfterLosses guards against one arrival that ends a third target, and against
// retries that overtake the end of a target being confirmed, wait for no reason or are
// refused to requests whose answers alone were lost, and against final answers that wait.
func TestRetriesAfterLosses(t *testing.T) {
	const soon = 30 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			name           string
			lost           []verdict
			await          bool
			decision, want retry.Decision
			took           time.Duration
		}{
			{"first loss", []verdict{{0, true}}, false, retry.Again, retry.Again, 0},
			{"nothing examined", nil, true, retry.Again, retry.Again, 0},
			{"request that may be refused", []verdict{{soon, true}}, true, retry.Again, retry.Again, soon},
			{"final answer", []verdict{{soon, true}}, true, retry.EndUnknown, retry.EndUnknown, 0},
			{"two ended", []verdict{{soon, true}, {2 * soon, true}}, false, retry.Again, retry.EndUnknown, 2 * soon},
			{"answers lost", []verdict{{soon, true}, {2 * soon, false}}, false, retry.Again, retry.Again, 2 * soon},
			{"nothing known", []verdict{{0, true}, {0, true}}, false, retry.Again, retry.EndUnknown, maxVerdictWait},
			{"no retry", []verdict{{0, true}, {0, true}}, false, retry.EndUnknown, retry.EndUnknown, 0},
		} {
			began, c := time.Now(), &call{}
			c.losses.add(nil, test.await)
			for _, verdict := range test.lost {
				c.losses.add(verdict.channel(), test.await)
			}
			must.Eq(t, test.want, c.afterLoss(t.Context(), test.decision), must.Sprint(test.name))
			must.Eq(t, test.took, time.Since(began), must.Sprint(test.name))
		}
	})
}
