package usage

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Checkpoint writes the figures at present into the source's key.
func (s *Source) Checkpoint(ctx context.Context) error {
	s.mu.Lock()
	s.state.roll(stampOf(time.Now()), s.length())
	checkpoint, base := s.state.checkpoint(), s.version
	nothing := checkpoint.Sequence == 0 && base == external.NoVersion
	s.mu.Unlock()
	if nothing {
		return nil
	}
	return s.write(ctx, &checkpoint, base)
}

// finish writes a last checkpoint that is sealed by the source itself.
func (s *Source) finish(ctx context.Context) error {
	s.mu.Lock()
	checkpoint, base := s.state.checkpoint(), s.version
	s.mu.Unlock()
	if checkpoint.Sequence == 0 && base == external.NoVersion {
		return nil
	}
	sealed, _ := Seal(checkpoint, s.opts.Host, stampOf(time.Now()), nil)
	return s.write(ctx, &sealed, base)
}

// write swaps a checkpoint in over the version that the source wrote last.
func (s *Source) write(ctx context.Context, checkpoint *Checkpoint, base external.Version) error {
	value, err := encodeCheckpoint(checkpoint)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.opts.Store.CompareAndSwap(ctx, external.Swap{Key: checkpoint.Source.key(), Base: base, Value: value})
	if err == nil {
		s.stored(checkpoint, version)
		s.metrics.checkpointBytes.Observe(float64(len(value)))
		return nil
	}
	if kind := fault.KindOf(err); kind != fault.Conflict && kind != fault.Unknown {
		return err
	}
	return s.readBack(ctx, checkpoint.Source)
}

// stored notes what the store holds.
func (s *Source) stored(checkpoint *Checkpoint, version external.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.id != checkpoint.Source {
		return
	}
	s.version = version
	s.state.stored(checkpoint.Sequence)
}

// readBack finds out what became of a write whose answer was lost or that met
// another version. The source and those who seal it are the only writers of its
// key, so that a record which is not sealed is the source's own.
func (s *Source) readBack(ctx context.Context, source SourceID) error {
	entry, err := s.opts.Store.Get(ctx, source.key())
	if errors.Is(err, external.ErrKeyNotFound) {
		return s.lostKey(source)
	}
	if err != nil {
		return err
	}
	found, err := decodeCheckpoint(entry.Value)
	if err != nil {
		return err
	}
	if found.Sealed {
		s.goOnAfter(&found)
		return nil
	}
	s.stored(&found, entry.Version)
	return nil
}

// lostKey handles a key that is gone. Where the source never wrote it, nothing
// took effect. Otherwise it was sealed, reported and removed so long ago that it
// can't be known what the seal held; what may be billed already is not billed
// again.
func (s *Source) lostKey(source SourceID) error {
	s.mu.Lock()
	never, all := s.version == external.NoVersion, s.state.sequence
	s.mu.Unlock()
	if never {
		return nil
	}
	s.goOnAfter(&Checkpoint{Source: source, Sequence: all, Sealed: true})
	return nil
}

// goOnAfter begins a new life with the records that the seal does not hold.
func (s *Source) goOnAfter(sealed *Checkpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.id != sealed.Source {
		return
	}
	s.state = s.state.after(sealed.Sequence, s.state.id.Incarnation+1, stampOf(time.Now()), s.length())
	s.version = external.NoVersion
	s.acked = 0
	s.metrics.seals.Inc()
	s.opts.Log.Warn("the usage checkpoint was sealed by another host; going on under a new incarnation", "by", sealed.SealedBy)
}
