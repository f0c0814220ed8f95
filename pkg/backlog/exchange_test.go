package backlog

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// wire joins exchanges without a network and counts their messages.
type wire struct {
	mu       sync.Mutex
	handlers map[ident.Host]peer.Handler
	messages int
	cut      bool
}

// end is one host's end of the wire.
type end struct {
	wire *wire
	host ident.Host
}

func (e end) Handle(_ peer.Kind, handler peer.Handler) { e.wire.handlers[e.host] = handler }

func (e end) Send(to ident.Host, message peer.Message) error {
	e.wire.mu.Lock()
	defer e.wire.mu.Unlock()
	e.wire.messages++
	if !e.wire.cut {
		e.wire.handlers[to](e.host, message)
	}
	return nil
}

func (e end) Linked() (hosts []ident.Host) {
	for host := range e.wire.handlers {
		if host != e.host {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// source is what a daemon has to tell.
type source struct {
	mu     sync.Mutex
	report Report
	heard  []Placed
}

func (s *source) set(report Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
}

// take returns the report; what was placed is told once.
func (s *source) take() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report
	s.report.Placed = nil
	return report
}

func (s *source) hear(_ ident.Host, report *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = append(s.heard, report.Placed...)
}

// talk runs three daemons of a fleet of the given size.
func talk(t *testing.T, daemons int, body func(w *wire, sources []*source, exchanges []*Exchange)) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{handlers: make(map[ident.Host]peer.Handler)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var sources []*source
		var exchanges []*Exchange
		for i := range 3 {
			s := &source{}
			x := New(Options{Own: s.take, Heard: s.hear, Daemons: func() int { return daemons }, Log: slog.New(slog.DiscardHandler)})
			x.Attach(end{w, ident.Host(fmt.Sprint(i))})
			sources, exchanges = append(sources, s), append(exchanges, x)
		}
		for _, x := range exchanges {
			go func() { _ = x.Run(ctx) }()
		}
		body(w, sources, exchanges)
	})
}

// let lets time pass, and what then runs come to rest.
func let(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestSumsOfTheOthersAreAddedUp(t *testing.T) {
	talk(t, 3, func(_ *wire, sources []*source, exchanges []*Exchange) {
		sources[0].set(Report{Outstanding: []Outstanding{{"e", 10, 100}}, Placed: []Placed{{"e", []uint64{1, 2}}}})
		sources[1].set(Report{Outstanding: []Outstanding{{"e", 1, 2}, {"f", 0, 7}}})
		let(100 * time.Millisecond)
		must.Eq(t, Outstanding{"e", 11, 102}, exchanges[2].Elsewhere("e"))
		must.Eq(t, Outstanding{"e", 1, 2}, exchanges[0].Elsewhere("e"), must.Sprint("a daemon's own are not the others'"))
		must.Eq(t, []Placed{{"e", []uint64{1, 2}}}, sources[2].heard)
		sources[0].set(Report{})
		let(100 * time.Millisecond)
		must.Eq(t, Outstanding{"e", 1, 2}, exchanges[2].Elsewhere("e"))
	})
}

func TestASilentDaemonIsLeftOut(t *testing.T) {
	talk(t, 3, func(w *wire, sources []*source, exchanges []*Exchange) {
		sources[0].set(Report{Outstanding: []Outstanding{{"e", 10, 100}}})
		let(time.Second)
		must.Eq(t, Outstanding{"e", 10, 100}, exchanges[2].Elsewhere("e"))
		w.mu.Lock()
		w.cut = true
		w.mu.Unlock()
		let(silentAfter + time.Second)
		must.Eq(t, Outstanding{Target: "e"}, exchanges[2].Elsewhere("e"))
	})
}

// TestThePartThatTellsIsKnown has two of ten others linked.
func TestThePartThatTellsIsKnown(t *testing.T) {
	talk(t, 11, func(_ *wire, sources []*source, exchanges []*Exchange) {
		for _, s := range sources[:2] {
			s.set(Report{Outstanding: []Outstanding{{"e", 1, 2}}})
		}
		let(100 * time.Millisecond)
		must.Eq(t, Outstanding{"e", 2, 4}, exchanges[2].Elsewhere("e"))
		must.Eq(t, 0.2, exchanges[2].Told())
	})
}

// TestUnchangedSumsCostFewMessages counts what ten quiet seconds send.
func TestUnchangedSumsCostFewMessages(t *testing.T) {
	talk(t, 3, func(w *wire, sources []*source, _ []*Exchange) {
		let(10 * time.Second)
		must.Eq(t, 0, w.messages)
		sources[0].set(Report{Outstanding: []Outstanding{{"e", 1, 2}}})
		let(10 * time.Second)
		must.LessEq(t, 2*26, w.messages)
	})
}

// BenchmarkSlopeReport shows the size of a report by the engines that owe
// prompts, each report with one prompt of 33 blocks that was placed.
func BenchmarkSlopeReport(b *testing.B) {
	for _, engines := range []int{2, 8, 32} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			report := Report{Placed: []Placed{{Target: "i-0123456789", Blocks: make([]uint64, 33)}}}
			for i := range report.Placed[0].Blocks {
				report.Placed[0].Blocks[i] = uint64(i+1) * 0x9e3779b97f4a7c15
			}
			for i := range engines {
				report.Outstanding = append(report.Outstanding, Outstanding{ident.Target(fmt.Sprintf("i-%010d", i)), 300, 17000})
			}
			size := 0
			for b.Loop() {
				payload, err := peer.EncodeCompact(report)
				must.NoError(b, err)
				size = len(payload)
			}
			b.ReportMetric(float64(size), "B/report")
		})
	}
}
