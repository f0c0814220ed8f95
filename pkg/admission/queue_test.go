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
	f := &queueFixture{gate: &slotGate{slots: slots}, knobs: config.BuiltinKnobs().Admission, now: time.Unix(1e9, 0)}
	f.queue = NewQueue(Options{
		Gate: f.gate, RemoteConsumption: SingleDaemon{}, Disabled: off, Now: func() time.Time { return f.now },
		Knobs:  func(*request.Request) *config.AdmissionKnobs { return &f.knobs },
		Weight: func(ident.Workspace) float64 { return 1 },
	})
	return f
}

func (f *queueFixture) offer(workspace string, class ident.Class, deadline time.Duration) (*Entry, error) {
	f.ids++
	req := &request.Request{
		ID: ident.Request(fmt.Sprint(f.ids)), Workspace: ident.Workspace(workspace), Class: class, Model: "m",
		PromptTokens: 100, MaxOutputTokens: 10,
	}
	if deadline > 0 {
		req.Deadline = f.now.Add(deadline)
	}
	return f.queue.Offer(req)
}

// dispatch admits all requests that may run and counts their slots as used.
func (f *queueFixture) dispatch() []*Entry {
	var all []*Entry
	for {
		run, _ := f.queue.Dispatch()
		if len(run) == 0 {
			return all
		}
		f.gate.used += len(run)
		all = append(all, run...)
	}
}

func (f *queueFixture) release(e *Entry) {
	f.gate.used--
	f.queue.Release(e, request.TokenUsage{PromptTokens: 100, OutputTokens: 10})
}

func TestQueueIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newQueueFixture(rapid.IntRange(1, 6).Draw(t, "slots"), DisabledParts{})
		var running []*Entry
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				f.release(running[0])
				running = running[1:]
			} else {
				class := rapid.SampledFrom([]ident.Class{ident.ClassLookup, ident.ClassInteractive, ident.ClassDeferrable}).Draw(t, "class")
				_, err := f.offer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), class, 0)
				must.NoError(t, err)
			}
			running = append(running, f.dispatch()...)
			must.True(t, f.queue.Waiting() == 0 || f.gate.used >= f.gate.slots, must.Sprint("a request waits although a slot is free"))
		}
	})
}

// servedFraction returns the fraction of a small workspace's requests that are
// served while another workspace floods the queue.
func servedFraction(off DisabledParts) float64 {
	f := newQueueFixture(2, off)
	offered, answered := 0, 0
	var running []*Entry
	for step := range 400 {
		for range 10 {
			_, _ = f.offer("flood", ident.ClassInteractive, 0)
		}
		if step%4 == 0 {
			offered++
			_, _ = f.offer("small", ident.ClassInteractive, 0)
		}
		for _, e := range running {
			f.release(e)
		}
		running = f.dispatch()
		for _, e := range running {
			if e.Request.Workspace == "small" {
				answered++
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	return float64(answered) / float64(offered)
}

func TestFloodDoesNotStarveOtherWorkspaces(t *testing.T) {
	must.GreaterEq(t, 0.95, servedFraction(DisabledParts{}))
	must.Less(t, 0.95, servedFraction(DisabledParts{Fairness: true}))
}

func TestDeferrableRunsBeforeItsDeadline(t *testing.T) {
	f := newQueueFixture(1, DisabledParts{})
	late, err := f.offer("a", ident.ClassDeferrable, 20*time.Second)
	must.NoError(t, err)
	f.gate.used = 1
	for range 400 {
		_, _ = f.offer("b", ident.ClassInteractive, 0)
		f.gate.used = 0
		for _, e := range f.dispatch() {
			f.release(e)
			f.gate.used = 1
			if e == late {
				must.True(t, f.now.Before(late.Request.Deadline))
				return
			}
		}
		f.now = f.now.Add(50 * time.Millisecond)
	}
	t.Fatal("the deferrable request never ran")
}

func TestRefusalIsEarlyAndSetsRetryAfter(t *testing.T) {
	f := newQueueFixture(0, DisabledParts{})
	_, err := f.offer("a", ident.ClassInteractive, 500*time.Millisecond)
	must.Eq(t, fault.Limited, fault.KindOf(err))
	must.Positive(t, fault.RetryAfterOf(err))

	e, err := f.offer("a", ident.ClassInteractive, 3*time.Second)
	must.NoError(t, err)
	f.now = f.now.Add(2*time.Second + time.Millisecond)
	_, refused := f.queue.Dispatch()
	must.SliceLen(t, 1, refused)
	must.Eq(t, fault.Limited, fault.KindOf(e.Err))
	must.True(t, f.now.Before(e.Request.Deadline))
}

func TestQueueLimitDoesNotApplyToLookups(t *testing.T) {
	f := newQueueFixture(0, DisabledParts{})
	f.knobs.QueueLimit = 2
	for i := range 3 {
		_, err := f.offer("a", ident.ClassInteractive, 0)
		must.Eq(t, i == 2, err != nil)
	}
	_, err := f.offer("a", ident.ClassLookup, 0)
	must.NoError(t, err)
}

func TestConcurrencyLimit(t *testing.T) {
	f := newQueueFixture(100, DisabledParts{})
	f.knobs.Concurrency = 3
	for range 10 {
		_, err := f.offer("a", ident.ClassInteractive, 0)
		must.NoError(t, err)
	}
	running := f.dispatch()
	must.SliceLen(t, 3, running)
	f.release(running[0])
	must.SliceLen(t, 1, f.dispatch())
}
