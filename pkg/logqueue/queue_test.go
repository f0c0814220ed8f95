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

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(line)
}

// TestBlockedWriterDoesNotBlockLogging guards against requests that wait for a
// blocked log writer. It logs far more lines than the queue holds: no call blocks,
// no warning is lost, and the dropped lines are reported once the writer is
// unblocked.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{open: make(chan struct{})}
		q := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			q.Run(ctx)
			done <- true
		}()
		log := slog.New(q.Handler(slog.LevelInfo))
		began := time.Now()
		for range 10 * queueCapacity {
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
		must.LessEq(t, ordinaryCapacity+1, strings.Count(text, "msg=answered"))
	})
}

func TestOrdinaryLinesAreRateLimited(t *testing.T) {
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

// BenchmarkLogLine measures what logging one line costs a request.
func BenchmarkLogLine(b *testing.B) {
	q := New(&bytes.Buffer{})
	log := slog.New(q.Handler(slog.LevelInfo))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request answered", "request", "r", "route", "x", "target", "t", "took", time.Second)
	}
}
