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

// KeeperOptions are what a Keeper works on.
type KeeperOptions struct {
	Host  ident.Host
	Store external.Store
	Mesh  peer.Mesh
	View  membership.View
	Log   *slog.Logger
	// Every is the time between looks for sources that have ended.
	Every time.Duration
	// KeepFor is how long a tail is kept that is not renewed and whose source
	// is not known to have ended.
	KeepFor time.Duration
}

// Keeper keeps the tails of other daemons' figures and seals the checkpoints of
// those that end without doing so themselves.
type Keeper struct {
	opts KeeperOptions

	mu    sync.Mutex
	tails map[SourceID]*keptTail
}

// keptTail is the tail of one source.
type keptTail struct {
	process ident.Incarnation
	// through is the last record that is kept without a gap.
	through uint64
	chunks  []Chunk
	heardAt time.Time
	// endedAt is when the source was first seen to have ended.
	endedAt time.Time
}

// longestSealWait bounds the wait of a keeper that has heard nothing for long.
const longestSealWait = 10 * time.Second

// sealWait is how long after the source's end the tail is sealed: as long as the
// source had been silent here. A source may have changed its keeper since, and
// the one that heard from it last must come first.
func (t *keptTail) sealWait() time.Duration { return min(t.endedAt.Sub(t.heardAt), longestSealWait) }

// maxKeptChunks bounds the chunks of one tail: those of a long outage of the
// store. Beyond it, later chunks are not confirmed.
const maxKeptChunks = 8192

// NewKeeper returns a keeper that keeps nothing yet.
func NewKeeper(opts KeeperOptions) *Keeper {
	k := &Keeper{opts: opts, tails: make(map[SourceID]*keptTail)}
	opts.Mesh.Handle(peer.KindUsageTail, k.receive)
	return k
}

// receive keeps the chunks of a message and confirms them.
func (k *Keeper) receive(from ident.Host, message peer.Message) {
	var tail wireTail
	if message.Version > tailVersion || peer.Decode(message.Payload, &tail) != nil || tail.Source.Host != from {
		k.opts.Log.Debug("a usage tail was skipped", "peer", from)
		return
	}
	through, err := k.keep(&tail)
	if err != nil {
		k.opts.Log.Warn("a usage tail is malformed", "peer", from, "error", err)
		return
	}
	payload, err := encode(&wireAck{Source: tail.Source, Through: through})
	if err != nil {
		return
	}
	// A lost confirmation makes the source send the chunks again.
	_ = k.opts.Mesh.Send(from, peer.Message{Kind: peer.KindUsageAck, Version: tailVersion, Payload: payload})
}

// keep appends the chunks that follow without a gap, drops those that the
// source's checkpoint holds, and returns the last record kept.
func (k *Keeper) keep(message *wireTail) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	tail := k.tails[message.Source]
	if tail == nil {
		tail = &keptTail{through: message.Base}
		k.tails[message.Source] = tail
	}
	tail.process, tail.heardAt, tail.endedAt = message.Process, time.Now(), time.Time{}
	tail.drop(message.Base)
	for _, packed := range message.Chunks {
		if packed.Number != tail.through+1 || len(tail.chunks) >= maxKeptChunks {
			continue
		}
		lines, err := unpack(message.Names, packed.Lines, packed.End)
		if err != nil {
			return tail.through, err
		}
		tail.chunks = append(tail.chunks, Chunk{From: packed.Number, To: packed.To, End: packed.End, Lines: lines})
		tail.through = packed.To
	}
	return tail.through, nil
}

// drop forgets the chunks that a checkpoint holds.
func (t *keptTail) drop(base uint64) {
	kept := t.chunks[:0]
	for _, chunk := range t.chunks {
		if chunk.To > base {
			kept = append(kept, chunk)
		}
	}
	t.chunks = kept
	t.through = max(t.through, base)
}

// Run seals the checkpoints of ended sources until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.opts.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.sealEnded(ctx)
		}
	}
}

// sealEnded seals the sources that have ended and forgets old tails.
func (k *Keeper) sealEnded(ctx context.Context) {
	ended := endedProcesses(k.opts.View.Members())
	for source, tail := range k.due(ended) {
		if err := sealKey(ctx, k.opts.Store, source, k.opts.Host, tail); err != nil {
			k.opts.Log.Debug("a usage checkpoint was not sealed", "source", source, "error", err)
			continue
		}
		k.mu.Lock()
		delete(k.tails, source)
		k.mu.Unlock()
	}
}

// due returns the tails of ended sources, and forgets those that are neither
// ended nor renewed.
func (k *Keeper) due(ended func(host ident.Host, process ident.Incarnation) bool) map[SourceID][]Chunk {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := make(map[SourceID][]Chunk)
	for source, tail := range k.tails {
		switch {
		case ended(source.Host, tail.process):
			if tail.endedAt.IsZero() {
				tail.endedAt = time.Now()
			}
			if time.Since(tail.endedAt) >= tail.sealWait() {
				due[source] = append([]Chunk(nil), tail.chunks...)
			}
		case time.Since(tail.heardAt) > k.opts.KeepFor:
			delete(k.tails, source)
		}
	}
	return due
}

// endedProcesses returns whether a process is held for ended: the member is
// dead or has left, or has come back with a later incarnation.
func endedProcesses(members []membership.Member) func(ident.Host, ident.Incarnation) bool {
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

// sealKey seals a source's checkpoint with a tail. A source that is alive after
// all finds the seal and goes on under a new incarnation, so that sealing is
// never wrong.
func sealKey(ctx context.Context, store external.Store, source SourceID, by ident.Host, tail []Chunk) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	checkpoint := Checkpoint{Source: source}
	entry, err := store.Get(ctx, source.key())
	switch {
	case err == nil:
		if checkpoint, err = decodeCheckpoint(entry.Value); err != nil {
			return err
		}
	case !errors.Is(err, external.ErrKeyNotFound):
		return err
	case len(tail) == 0 || tail[0].From != 1:
		return nil
	}
	sealed, changed := Seal(checkpoint, by, stampOf(time.Now()), tail)
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
