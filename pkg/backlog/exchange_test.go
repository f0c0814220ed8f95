package backlog

import (
	"context"
	"errors"
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
	handler, linked := e.wire.handlers[to]
	if !linked {
		return errUnlinked
	}
	e.wire.messages++
	if !e.wire.cut {
		handler(e.host, message)
	}
	return nil
}

// errUnlinked is why nothing reaches a host without a link.
var errUnlinked = errors.New("no link")

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

// take returns the report; what was placed and who is away is told once.
func (s *source) take() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report
	s.report.Placed, s.report.Away = nil, nil
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
		for i, x := range exchanges {
			x.SetCircle(nearAll(i, daemons))
			go func() { _ = x.Run(ctx) }()
		}
		body(w, sources, exchanges)
	})
}

// nearAll returns the circle of one daemon of a fleet that all tell each other.
func nearAll(self, daemons int) (circle Circle) {
	for i := range daemons {
		if i != self {
			circle.Near = append(circle.Near, ident.Host(fmt.Sprint(i)))
		}
	}
	return circle
}

// let lets time pass, and what then runs come to rest.
func let(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestSumsOfTheOthersAreAddedUp(t *testing.T) {
	talk(t, 3, func(_ *wire, sources []*source, exchanges []*Exchange) {
		sources[0].set(Report{Outstanding: []Outstanding{{"e", 10, 100}}, Placed: []Placed{{Target: "e", Blocks: []uint64{1, 2}}}})
		sources[1].set(Report{Outstanding: []Outstanding{{"e", 1, 2}, {"f", 0, 7}}})
		let(100 * time.Millisecond)
		must.Eq(t, Outstanding{"e", 11, 102}, exchanges[2].Elsewhere("e"))
		must.Eq(t, Outstanding{"e", 1, 2}, exchanges[0].Elsewhere("e"), must.Sprint("a daemon's own are not the others'"))
		must.Eq(t, []Placed{{Target: "e", Blocks: []uint64{1, 2}}}, sources[2].heard)
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

// TestCellsTellEachOther plays 40 daemons in four failure domains, of which each
// has something outstanding and places one prompt.
func TestCellsTellEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{handlers: make(map[ident.Host]peer.Handler)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := fleetOf(40, 4)
		circles := circlesOf(fleet)
		sources := make([]*source, len(fleet))
		exchanges := make([]*Exchange, len(fleet))
		for i, daemon := range fleet {
			sources[i] = &source{}
			sources[i].set(Report{Outstanding: []Outstanding{{"e", 1, 10}}, Placed: []Placed{{Target: "e", Blocks: []uint64{uint64(i)}}}, Away: []Away{{"f", 100}}})
			exchanges[i] = New(Options{
				Own: sources[i].take, Heard: sources[i].hear, Daemons: func() int { return len(fleet) }, Log: slog.New(slog.DiscardHandler),
			})
			exchanges[i].Attach(end{w, daemon.Host})
			exchanges[i].SetCircle(circles[daemon.Host])
		}
		for _, x := range exchanges {
			go func() { _ = x.Run(ctx) }()
		}
		let(time.Second)
		for i, x := range exchanges {
			must.Eq(t, Outstanding{"e", 39, 390}, x.Elsewhere("e"), must.Sprint(i))
			must.Eq(t, 1, x.Told())
			must.False(t, x.TellsAll())
			must.Len(t, 39, sources[i].heard, must.Sprint("each prompt is told once"))
		}
		w.mu.Lock()
		before := w.messages
		w.mu.Unlock()
		let(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		// Nothing changes: each tells its nine near daemons and its three sinks on
		// the average as seldom as it may.
		must.LessEq(t, 40*12*26, w.messages-before)
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
