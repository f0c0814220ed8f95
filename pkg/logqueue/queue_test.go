package logqueue

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// stalled is a writer that takes nothing until it is opened.
type stalled struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

// TestAStalledReaderHoldsNobodyUp logs far more than the queue holds while
// nothing is read, in no time at all; failures keep their lines, and the drops
// are told once the log is read again.
func TestAStalledReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{open: make(chan struct{})}
		q := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			q.Run(ctx)
			done <- true
		}()
		log := slog.New(q.Handler(slog.LevelInfo))
		began := time.Now()
		for range 10 * queueLines {
			log.Info("answered", "request", 1)
		}
		for range 100 {
			log.With("host", "h").Warn("failed", "request", 2)
		}
		must.Eq(t, began, time.Now())
		must.Greater(t, 0, q.Dropped())
		close(out.open)
		cancel()
		<-done
		text := out.text.String()
		must.Eq(t, 100, strings.Count(text, "msg=failed host=h request=2"))
		must.StrContains(t, text, "log lines dropped")
		must.LessEq(t, ordinaryLines+1, strings.Count(text, "msg=answered"))
	})
}

func TestOrdinaryLinesKeepTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		q := New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			q.Run(ctx)
			done <- true
		}()
		log := slog.New(q.Handler(slog.LevelInfo))
		for range 5000 {
			log.Info("answered")
			log.Debug("not logged")
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		count := strings.Count(out.String(), "msg=answered")
		must.Between(t, 5*ordinaryPerSecond, count, 7*ordinaryPerSecond)
		must.Eq(t, int64(5000-count), q.Dropped())
	})
}

// BenchmarkLine is what a line of a request costs its request.
func BenchmarkLine(b *testing.B) {
	q := New(&bytes.Buffer{})
	log := slog.New(q.Handler(slog.LevelInfo))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request answered", "request", "r", "route", "x", "target", "t", "took", time.Second)
	}
}
