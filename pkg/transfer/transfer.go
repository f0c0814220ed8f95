package transfer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrStalled is the cause of a context that ended because no bytes moved for
// Limits.Silence.
var ErrStalled = errors.New("no data was transferred within the silence limit")

// Limits bound one call.
type Limits struct {
	// Silence is how long no byte of the call may move, from its start on.
	Silence time.Duration
	// Total bounds the whole call, however much it moves.
	Total time.Duration
	// MaxBytes bounds the answer's body, or is zero if only the client's own limit holds.
	MaxBytes int64
}

// Transfer counts the bytes that one call has moved. All methods may be called on a nil
// Transfer, which has no limits.
type Transfer struct {
	limits Limits
	start  time.Time
	bytes  atomic.Int64
	// lastMoved is when bytes moved last, since start.
	lastMoved atomic.Int64
	stalled   atomic.Bool
}

// contextKey is the context key of the Transfer.
type contextKey struct{}

// Start returns a context for one call. It ends with the cause ErrStalled once no byte
// has moved for limits.Silence, and with context.DeadlineExceeded after limits.Total. A
// client that does not report its bytes with Moved is thus bounded by limits.Silence.
func Start(ctx context.Context, limits Limits) (context.Context, *Transfer, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(ctx, limits.Total)
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{limits: limits, start: time.Now()}
	go t.watch(ctx, cancel)
	return context.WithValue(ctx, contextKey{}, t), t, func() {
		cancel(nil)
		cancelTotal()
	}
}

// From returns the Transfer of a call's context, or nil if it has none.
func From(ctx context.Context) *Transfer {
	t, _ := ctx.Value(contextKey{}).(*Transfer)
	return t
}

// watch ends the call with ErrStalled when it makes no progress, until ctx ends.
func (t *Transfer) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	timer := time.NewTimer(t.limits.Silence)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		left := t.limits.Silence - t.silentFor()
		if left <= 0 {
			t.stalled.Store(true)
			cancel(ErrStalled)
			return
		}
		timer.Reset(left)
	}
}

// silentFor returns how long no byte has moved.
func (t *Transfer) silentFor() time.Duration {
	return time.Since(t.start) - time.Duration(t.lastMoved.Load())
}

// Moved records that n bytes of the call have moved. n may be zero for a part of an
// answer that is not counted, as its header.
func (t *Transfer) Moved(n int) {
	if t == nil {
		return
	}
	t.bytes.Add(int64(n))
	t.lastMoved.Store(max(1, int64(time.Since(t.start))))
}

// Bytes returns the number of bytes that have moved.
func (t *Transfer) Bytes() int64 {
	if t == nil {
		return 0
	}
	return t.bytes.Load()
}

// Begun reports whether any part of the answer has arrived.
func (t *Transfer) Begun() bool { return t != nil && t.lastMoved.Load() > 0 }

// Stalled reports whether the call was ended with ErrStalled.
func (t *Transfer) Stalled() bool { return t != nil && t.stalled.Load() }

// Silence returns the call's Limits.Silence, or false if it has none.
func (t *Transfer) Silence() (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	return t.limits.Silence, true
}

// MaxBytes returns the smaller of clientLimit, in bytes, and the call's Limits.MaxBytes.
func (t *Transfer) MaxBytes(clientLimit int64) int64 {
	if t == nil || t.limits.MaxBytes <= 0 {
		return clientLimit
	}
	return min(clientLimit, t.limits.MaxBytes)
}

// Reader returns a reader that records the bytes that are read from r.
func (t *Transfer) Reader(r io.Reader) io.Reader {
	if t == nil {
		return r
	}
	return &reader{inner: r, transfer: t}
}

// reader records the bytes of another reader.
type reader struct {
	inner    io.Reader
	transfer *Transfer
}

// Read reads from the inner reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	if n > 0 {
		r.transfer.Moved(n)
	}
	return n, err
}
