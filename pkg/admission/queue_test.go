package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// slotGate is a Gate with a fixed number of slots.
type slotGate struct{ used, slots int }

func (g *slotGate) ExpectedWait(*request.Request) (time.Duration, float64) {
	if g.used >= g.slots {
		return time.Minute, 1
	}
	return 0, 0
}

func (g *slotGate) MinRunTime(*request.Request, float64) time.Duration { return time.Second }

// queueFixture is a queue with a slotGate and a clock that tests advance.
type queueFixture struct {
	queue *Queue
	gate  *slotGate
	knobs config.AdmissionKnobs
	now   time.Time
	ids   int
}

func newQueueFixture(slots int, off DisabledParts) *queueFixture {
	b := &queueFixture{gate: &slotGate{slots: slots}, knobs: config.BuiltinKnobs().Admission, now: time.Unix(1e9, 0)}
	b.queue = NewQueue(Options{
		Gate: b.gate, RemoteConsumption: SingleDaemon{}, Disabled: off, Now: func() time.Time { return b.now },
		Knobs:  func(*request.Request) *config.AdmissionKnobs { return &b.knobs },
		Weight: func(ident.Workspace) float64 { return 1 },
	})
	return b
}

func (b *queueFixture) offer(workspace string, class ident.Class, deadline time.Duration) (*Entry, error) {
	b.ids++
	req := &request.Request{
		ID: ident.Request(fmt.Sprint(b.ids)), Workspace: ident.Workspace(workspace), Class: class, Model: "m",
		PromptTokens: 100, MaxOutputTokens: 10,
	}
	if deadline > 0 {
		req.Deadline = b.now.Add(deadline)
	}
	return b.queue.Offer(req)
}

// dispatch admits all requests that may run and counts their slots as used.
func (b *queueFixture) dispatch() []*Entry {
	var all []*Entry
	for {
		run, _ := b.queue.Dispatch()
		if len(run) == 0 {
			return all
		}
		b.gate.used += len(run)
		all = append(all, run...)
	}
}

func (b *queueFixture) release(e *Entry) {
	b.gate.used--
	b.queue.Release(e, request.TokenUsage{PromptTokens: 100, OutputTokens: 10})
}

func TestQueueIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newQueueFixture(rapid.IntRange(1, 6).Draw(t, "slots"), DisabledParts{})
		var running []*Entry
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				b.release(running[0])
				running = running[1:]
			} else {
				class := rapid.SampledFrom([]ident.Class{ident.ClassLookup, ident.ClassInteractive, ident.ClassDeferrable}).Draw(t, "class")
				_, err := b.offer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), class, 0)
				must.NoError(t, err)
			}
			running = append(running, b.dispatch()...)
			must.True(t, b.queue.Waiting() == 0 || b.gate.used >= b.gate.slots, must.Sprint("a request waits although a slot is free"))
		}
	})
}

// servedFraction returns the fraction of a small workspace's requests that are
// served while another workspace floods the queue.
func servedFraction(off DisabledParts) float64 {
	b := newQueueFixture(2, off)
	offered, answered := 0, 0
	var running []*Entry
	for step := range 400 {
		for range 10 {
			_, _ = b.offer("flood", ident.ClassInteractive, 0)
		}
		if step%4 == 0 {
			offered++
			_, _ = b.offer("small", ident.ClassInteractive, 0)
		}
		for _, e := range running {
			b.release(e)
		}
		running = b.dispatch()
		for _, e := range running {
			if e.Request.Workspace == "small" {
				answered++
			}
		}
		b.now = b.now.Add(100 * time.Millisecond)
	}
	return float64(answered) / float64(offered)
}

func TestFloodDoesNotStarveOtherWorkspaces(t *testing.T) {
	must.GreaterEq(t, 0.95, servedFraction(DisabledParts{}))
	must.Less(t, 0.95, servedFraction(DisabledParts{Fairness: true}))
}

func TestDeferrableRunsBeforeItsDeadline(t *testing.T) {
	b := newQueueFixture(1, DisabledParts{})
	late, err := b.offer("a", ident.ClassDeferrable, 20*time.Second)
	must.NoError(t, err)
	b.gate.used = 1
	for range 400 {
		_, _ = b.offer("b", ident.ClassInteractive, 0)
		b.gate.used = 0
		for _, e := range b.dispatch() {
			b.release(e)
			b.gate.used = 1
			if e == late {
				must.True(t, b.now.Before(late.Request.Deadline))
				return
			}
		}
		b.now = b.now.Add(50 * time.Millisecond)
	}
	t.Fatal("the deferrable request never ran")
}

func TestRefusalIsEarlyAndSetsRetryAfter(t *testing.T) {
	b := newQueueFixture(0, DisabledParts{})
	_, err := b.offer("a", ident.ClassInteractive, 500*time.Millisecond)
	must.Eq(t, fault.Limited, fault.KindOf(err))
	must.Positive(t, fault.RetryAfterOf(err))

	e, err := b.offer("a", ident.ClassInteractive, 3*time.Second)
	must.NoError(t, err)
	b.now = b.now.Add(2*time.Second + time.Millisecond)
	_, refused := b.queue.Dispatch()
	must.SliceLen(t, 1, refused)
	must.Eq(t, fault.Limited, fault.KindOf(e.Err))
	must.True(t, b.now.Before(e.Request.Deadline))
}

func TestQueueLimitDoesNotApplyToLookups(t *testing.T) {
	b := newQueueFixture(0, DisabledParts{})
	b.knobs.QueueLimit = 2
	for i := range 3 {
		_, err := b.offer("a", ident.ClassInteractive, 0)
		must.Eq(t, i == 2, err != nil)
	}
	_, err := b.offer("a", ident.ClassLookup, 0)
	must.NoError(t, err)
}

func TestConcurrencyLimit(t *testing.T) {
	b := newQueueFixture(100, DisabledParts{})
	b.knobs.Concurrency = 3
	for range 10 {
		_, err := b.offer("a", ident.ClassInteractive, 0)
		must.NoError(t, err)
	}
	running := b.dispatch()
	must.SliceLen(t, 3, running)
	b.release(running[0])
	must.SliceLen(t, 1, b.dispatch())
}
