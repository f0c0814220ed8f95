package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// TailReplicaOptions configure a TailReplica.
type TailReplicaOptions struct {
	Host  ident.Host
	Store external.Store
	Mesh  peer.Mesh
	View  membership.View
	Log   *slog.Logger
	// CheckInterval is the interval between checks for ended sources.
	CheckInterval time.Duration
	// Retention is how long a tail is kept after the last message of its source,
	// unless the source is known to have ended.
	Retention time.Duration
}

// TailReplica holds replicas of other daemons' usage tails, and seals the
// checkpoints of daemons that end without sealing them themselves.
type TailReplica struct {
	opts TailReplicaOptions

	mu    sync.Mutex
	tails map[SourceID]*sourceTail
}

// sourceTail is the replicated tail of one source.
type sourceTail struct {
	process ident.Incarnation
	// through is the last record up to which there is no gap.
	through uint64
	chunks  []Chunk
	// lastMessageAt is when the source's last message was received.
	lastMessageAt time.Time
	// endedAt is when the source was first seen to have ended.
	endedAt time.Time
}

// maxSealDelay bounds sealDelay, so that a tail is sealed even if the replica with
// the more recent messages has failed too.
const maxSealDelay = 10 * time.Second

// sealDelay returns the time from the detection of the source's end to the sealing
// of its tail. It equals the time without messages before that detection: the
// source may have switched to another replica then, and the replica with the most
// recent message must seal first.
func (t *sourceTail) sealDelay() time.Duration {
	return min(t.endedAt.Sub(t.lastMessageAt), maxSealDelay)
}

// maxTailChunks bounds the chunks of one tail, which grows during a store
// outage. Chunks beyond the bound are not acknowledged.
const maxTailChunks = 8192

// NewTailReplica returns an empty replica and registers its message handler.
func NewTailReplica(opts TailReplicaOptions) *TailReplica {
	r := &TailReplica{opts: opts, tails: make(map[SourceID]*sourceTail)}
	opts.Mesh.Handle(peer.KindUsageTail, r.receiveTail)
	return r
}

// receiveTail stores the chunks of a message and acknowledges them.
func (r *TailReplica) receiveTail(from ident.Host, message peer.Message) {
	var tail wireTail
	if message.Version > tailVersion || peer.Decode(message.Payload, &tail) != nil || tail.Source.Host != from {
		r.opts.Log.Debug("usage tail message ignored: malformed, of a newer version or from the wrong host", "peer", from)
		return
	}
	through, err := r.appendChunks(&tail)
	if err != nil {
		r.opts.Log.Warn("malformed lines in usage tail message", "peer", from, "error", err)
		return
	}
	payload, err := encode(&wireAck{Source: tail.Source, Through: through})
	if err != nil {
		return
	}
	// The source resends the chunks if the acknowledgment is lost.
	_ = r.opts.Mesh.Send(from, peer.Message{Kind: peer.KindUsageAck, Version: tailVersion, Payload: payload})
}

// appendChunks appends the chunks that follow without a gap, discards those
// included in the source's checkpoint, and returns the last record of the tail.
func (r *TailReplica) appendChunks(message *wireTail) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tail := r.tails[message.Source]
	if tail == nil {
		tail = &sourceTail{through: message.Base}
		r.tails[message.Source] = tail
	}
	tail.process, tail.lastMessageAt, tail.endedAt = message.Process, time.Now(), time.Time{}
	tail.discardThrough(message.Base)
	for _, packed := range message.Chunks {
		if packed.Number != tail.through+1 || len(tail.chunks) >= maxTailChunks {
			continue
		}
		lines, err := unpackLines(message.Names, packed.Lines, packed.End)
		if err != nil {
			return tail.through, err
		}
		tail.chunks = append(tail.chunks, Chunk{From: packed.Number, To: packed.To, End: packed.End, Lines: lines})
		tail.through = packed.To
	}
	return tail.through, nil
}

// discardThrough discards the chunks up to the record base, which the source's
// checkpoint includes.
func (t *sourceTail) discardThrough(base uint64) {
	remaining := t.chunks[:0]
	for _, chunk := range t.chunks {
		if chunk.To > base {
			remaining = append(remaining, chunk)
		}
	}
	t.chunks = remaining
	t.through = max(t.through, base)
}

// Run seals the checkpoints of ended sources until ctx is done.
func (r *TailReplica) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.opts.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.sealEnded(ctx)
		}
	}
}

// sealEnded seals the checkpoints of ended sources and discards expired tails.
func (r *TailReplica) sealEnded(ctx context.Context) {
	ended := endedPredicate(r.opts.View.Members())
	for source, tail := range r.dueTails(ended) {
		if err := sealCheckpoint(ctx, r.opts.Store, source, r.opts.Host, tail); err != nil {
			r.opts.Log.Debug("failed to seal usage checkpoint", "source", source, "error", err)
			continue
		}
		r.mu.Lock()
		delete(r.tails, source)
		r.mu.Unlock()
	}
}

// dueTails returns the tails of ended sources whose seal delay has passed, and
// discards the tails of other sources without a message for Retention.
func (r *TailReplica) dueTails(ended func(host ident.Host, process ident.Incarnation) bool) map[SourceID][]Chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := make(map[SourceID][]Chunk)
	for source, tail := range r.tails {
		switch {
		case ended(source.Host, tail.process):
			if tail.endedAt.IsZero() {
				tail.endedAt = time.Now()
			}
			if time.Since(tail.endedAt) >= tail.sealDelay() {
				due[source] = append([]Chunk(nil), tail.chunks...)
			}
		case time.Since(tail.lastMessageAt) > r.opts.Retention:
			delete(r.tails, source)
		}
	}
	return due
}

// endedPredicate returns a function that reports whether a process is
// considered ended: its member is dead, has left, or is known with a later
// incarnation.
func endedPredicate(members []membership.Member) func(ident.Host, ident.Incarnation) bool {
	known := make(map[ident.Host]membership.Member, len(members))
	for _, member := range members {
		known[member.Host] = member
	}
	return func(host ident.Host, process ident.Incarnation) bool {
		member, ok := known[host]
		if !ok {
			return false
		}
		return member.Incarnation > process || member.Status == membership.Dead || member.Status == membership.Left
	}
}

// sealCheckpoint seals a source's checkpoint with a tail. Sealing is safe even
// if the source is alive: it detects the seal and continues under a new
// incarnation.
func sealCheckpoint(ctx context.Context, store external.Store, source SourceID, by ident.Host, tail []Chunk) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	checkpoint := Checkpoint{Source: source}
	entry, err := store.Get(ctx, source.key())
	switch {
	case err == nil:
		if checkpoint, err = decodeCheckpoint(entry.Value); err != nil {
			return errors.Wrapf(err, "decode %s", entry.Key)
		}
	case !errors.Is(err, external.ErrKeyNotFound):
		return err
	case len(tail) == 0 || tail[0].From != 1:
		return nil
	}
	sealed, changed := Seal(checkpoint, by, timestampOf(time.Now()), tail)
	if !changed {
		return nil
	}
	value, err := encodeCheckpoint(&sealed)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, external.Swap{Key: source.key(), Base: entry.Version, Value: value})
	return err
}
