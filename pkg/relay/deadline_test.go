package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// newTestDeadline returns a deadline in one second, which may be put off to three.
func newTestDeadline(t *testing.T) (ended <-chan struct{}, d *deadline) {
	now := time.Now()
	req := &request.Request{Deadline: now.Add(time.Second), LaterDeadline: func() time.Time { return now.Add(3 * time.Second) }}
	ctx, d := startDeadline(t.Context(), context.Background(), req)
	t.Cleanup(d.stop)
	return ctx.Done(), d
}

// TestDeadlineIsPutOffWithinAnswers guards against a deadline that is put off before the
// answer has begun, or that is not put off, or that ends nothing afterwards.
func TestDeadlineIsPutOffWithinAnswers(t *testing.T) {
	for begun, want := range map[bool]time.Duration{false: time.Second, true: 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ended, d := newTestDeadline(t)
			start := time.Now()
			if begun {
				must.True(t, d.beginAnswer())
			}
			<-ended
			must.Eq(t, want, time.Since(start))
			must.Eq(t, start.Add(want), d.time())
		})
	}
}

// TestExpiryThatCrossesAPutOffEndsNothing has the timer's function run late, after the
// deadline was put off. It guards against ending the request at its first deadline.
func TestExpiryThatCrossesAPutOffEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended, d := newTestDeadline(t)
		start := time.Now()
		must.True(t, d.beginAnswer())
		must.Eq(t, start.Add(3*time.Second), d.reconsider())
		d.expire()
		<-ended
		must.Eq(t, 3*time.Second, time.Since(start))
	})
}

// TestNoAnswerBeginsAfterTheDeadline guards against an answer that begins as the deadline
// passes and is then cut.
func TestNoAnswerBeginsAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended, d := newTestDeadline(t)
		<-ended
		must.False(t, d.beginAnswer())
		must.Eq(t, d.time(), d.reconsider())
	})
}

// TestPassedDeadlineEndsAtOnce guards against sending a request whose deadline has passed
// before it came to the relay.
func TestPassedDeadlineEndsAtOnce(t *testing.T) {
	for range 100 {
		ctx, d := startDeadline(t.Context(), context.Background(), &request.Request{Deadline: time.Now()})
		must.Error(t, ctx.Err())
		must.False(t, d.beginAnswer())
		d.stop()
	}
}

// TestLateTimerLetsNoAnswerBegin has the timer's function run late. It guards against an
// answer that begins after the deadline and is then cut.
func TestLateTimerLetsNoAnswerBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, d := newTestDeadline(t)
		d.timer.Stop()
		time.Sleep(time.Second)
		must.False(t, d.beginAnswer())
	})
}

// TestEndedDeadlineIsNotPutOff has the timer's function run after the request has ended,
// or after the deadline has. It guards against a timer that goes on for a request that is
// over, and against a retry of one whose context has ended.
func TestEndedDeadlineIsNotPutOff(t *testing.T) {
	for name, end := range map[string]func(*deadline){
		"request": func(d *deadline) { d.stop() },
		"deadline": func(*deadline) {
			time.Sleep(3 * time.Second)
			synctest.Wait()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, d := newTestDeadline(t)
				must.True(t, d.beginAnswer())
				end(d)
				asked := 0
				d.later = func() time.Time {
					asked++
					return time.Now().Add(time.Second)
				}
				before := d.time()
				d.expire()
				time.Sleep(5 * time.Second)
				must.Eq(t, before, d.reconsider())
				must.Eq(t, 0, asked)
			})
		})
	}
}

// TestEndOfTheProcessEndsRequests guards against a request that has no answer when its process is
// killed, since its deadline is later, and against cutting an answer that has begun.
func TestEndOfTheProcessEndsRequests(t *testing.T) {
	for begun, want := range map[bool]time.Duration{false: 100 * time.Millisecond, true: 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ending, end := context.WithCancel(context.Background())
			now := time.Now()
			ctx, d := startDeadline(t.Context(), ending, &request.Request{
				Deadline: now.Add(time.Second), LaterDeadline: func() time.Time { return now.Add(3 * time.Second) },
			})
			defer d.stop()
			must.True(t, !begun || d.beginAnswer())
			time.Sleep(100 * time.Millisecond)
			end()
			<-ctx.Done()
			must.Eq(t, want, time.Since(now))
			must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			must.False(t, d.beginAnswer() && !begun)
		})
	}
}
