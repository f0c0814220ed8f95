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
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// ordinaryLines is the part of them that lines below a warning may take.
	ordinaryLines = queueLines / 2
	// ordinaryPerSecond bounds the lines below a warning in a second.
	ordinaryPerSecond = 200
	// tellEvery is the least time between lines that tell of drops.
	tellEvery = time.Second
)

// Queue takes lines from any goroutine and has one goroutine write them.
type Queue struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines that were not taken since they were last told.
	dropped atomic.Int64
	total   atomic.Int64
	// second and inSecond count the ordinary lines of the present second.
	second   atomic.Int64
	inSecond atomic.Int64
}

// New returns a queue before a writer. Run writes what is taken.
func New(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, queueLines)}
}

// Handler returns a handler that formats lines as text and queues them.
func (q *Queue) Handler(level slog.Leveler) slog.Handler {
	opts := &slog.HandlerOptions{Level: level}
	return &handler{
		queue:    q,
		ordinary: slog.NewTextHandler(taker{q, false}, opts), urgent: slog.NewTextHandler(taker{q, true}, opts),
	}
}

// Dropped returns how many lines were not taken in all.
func (q *Queue) Dropped() int64 { return q.total.Load() }

// Run writes the queued lines until ctx ends, and what is left then.
func (q *Queue) Run(ctx context.Context) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ticker.C:
			q.tell()
		case <-ctx.Done():
			q.flush()
			return
		}
	}
}

// flush writes what is queued.
func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			q.tell()
			return
		}
	}
}

// write writes one line. A log that can't be written has nowhere to be told of.
func (q *Queue) write(line []byte) { _, _ = q.out.Write(line) }

// tell writes how many lines were dropped.
func (q *Queue) tell() {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		q.write(fmt.Appendf(nil, "time=%s level=WARN msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped))
	}
}

// take queues a line, or counts it as dropped.
func (q *Queue) take(line []byte, urgent bool) {
	if !urgent && (len(q.lines) >= ordinaryLines || !q.withinRate()) {
		q.drop()
		return
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop()
	}
}

// withinRate counts an ordinary line and reports whether the second has room.
func (q *Queue) withinRate() bool {
	now := time.Now().Unix()
	if q.second.Swap(now) != now {
		q.inSecond.Store(0)
	}
	return q.inSecond.Add(1) <= ordinaryPerSecond
}

// drop counts a line that was not taken.
func (q *Queue) drop() {
	q.dropped.Add(1)
	q.total.Add(1)
}

// taker is the writer that formatted lines come to.
type taker struct {
	queue  *Queue
	urgent bool
}

// Write queues one line. It never fails and never waits.
func (t taker) Write(line []byte) (int, error) {
	t.queue.take(line, t.urgent)
	return len(line), nil
}
