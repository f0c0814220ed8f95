package logqueue

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the number of queued lines.
	queueCapacity = 2048
	// ordinaryCapacity is the queue length at which lines below the warning level
	// are dropped.
	ordinaryCapacity = queueCapacity / 2
	// ordinaryPerSecond bounds the lines below the warning level per second.
	ordinaryPerSecond = 200
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// Queue accepts lines from any goroutine and writes them from one.
type Queue struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines dropped since the last report, total all of them.
	dropped atomic.Int64
	total   atomic.Int64
	// second is the current Unix second; ordinaryInSecond counts its ordinary
	// lines.
	second           atomic.Int64
	ordinaryInSecond atomic.Int64
}

// New returns a queue in front of a writer. Run must be called to write the lines.
func New(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, queueCapacity)}
}

// Handler returns a handler that formats lines as text and queues them.
func (q *Queue) Handler(level slog.Leveler) slog.Handler {
	opts := &slog.HandlerOptions{Level: level}
	return &handler{
		queue:    q,
		ordinary: slog.NewTextHandler(lineWriter{q, false}, opts), urgent: slog.NewTextHandler(lineWriter{q, true}, opts),
	}
}

// Dropped returns the total number of dropped lines.
func (q *Queue) Dropped() int64 { return q.total.Load() }

// Run writes queued lines until ctx ends, then flushes the queue.
func (q *Queue) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ticker.C:
			q.reportDropped()
		case <-ctx.Done():
			q.flush()
			return
		}
	}
}

// flush writes all queued lines without waiting for more.
func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			q.reportDropped()
			return
		}
	}
}

// write writes one line. A write error is ignored, since there is no other place to
// log it.
func (q *Queue) write(line []byte) { _, _ = q.out.Write(line) }

// reportDropped logs how many lines were dropped since the last report.
func (q *Queue) reportDropped() {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		q.write(fmt.Appendf(nil, "time=%s level=WARN msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped))
	}
}

// enqueue queues a copy of a line, or drops it if there is no room.
func (q *Queue) enqueue(line []byte, urgent bool) {
	if !urgent && (len(q.lines) >= ordinaryCapacity || !q.withinRate()) {
		q.drop()
		return
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop()
	}
}

// withinRate counts an ordinary line and reports whether it is within the rate
// limit.
func (q *Queue) withinRate() bool {
	now := time.Now().Unix()
	if q.second.Swap(now) != now {
		q.ordinaryInSecond.Store(0)
	}
	return q.ordinaryInSecond.Add(1) <= ordinaryPerSecond
}

// drop counts a dropped line.
func (q *Queue) drop() {
	q.dropped.Add(1)
	q.total.Add(1)
}

// lineWriter queues the lines that a formatter writes to it.
type lineWriter struct {
	queue  *Queue
	urgent bool
}

// Write queues one line. It never fails and never blocks.
func (w lineWriter) Write(line []byte) (int, error) {
	w.queue.enqueue(line, w.urgent)
	return len(line), nil
}
