package usage

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Checkpoint writes the current usage to the source's key in the store.
func (s *Source) Checkpoint(ctx context.Context) error {
	s.mu.Lock()
	s.state.rollOver(timestampOf(time.Now()), s.windowLength())
	checkpoint, base := s.state.checkpoint(), s.version
	empty := checkpoint.Sequence == 0 && base == external.NoVersion
	s.mu.Unlock()
	if empty {
		return nil
	}
	return s.write(ctx, &checkpoint, base)
}

// writeFinalCheckpoint writes a checkpoint that is sealed by the source itself.
func (s *Source) writeFinalCheckpoint(ctx context.Context) error {
	s.mu.Lock()
	checkpoint, base := s.state.checkpoint(), s.version
	s.mu.Unlock()
	if checkpoint.Sequence == 0 && base == external.NoVersion {
		return nil
	}
	sealed, _ := Seal(checkpoint, s.opts.Host, timestampOf(time.Now()), nil)
	return s.write(ctx, &sealed, base)
}

// write stores a checkpoint by compare-and-swap against the base version.
func (s *Source) write(ctx context.Context, checkpoint *Checkpoint, base external.Version) error {
	value, err := encodeCheckpoint(checkpoint)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.opts.Store.CompareAndSwap(ctx, external.Swap{Key: checkpoint.Source.key(), Base: base, Value: value})
	if err == nil {
		s.markStored(checkpoint, version)
		s.metrics.checkpointBytes.Observe(float64(len(value)))
		return nil
	}
	if kind := fault.KindOf(err); kind != fault.Conflict && kind != fault.Unknown {
		return err
	}
	return s.readBack(ctx, checkpoint.Source)
}

// markStored records the version and sequence of the stored checkpoint.
func (s *Source) markStored(checkpoint *Checkpoint, version external.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.id != checkpoint.Source {
		return
	}
	s.version = version
	s.state.markStored(checkpoint.Sequence)
}

// readBack determines the outcome of a write whose response was lost or that
// conflicted with another version. Only the source and hosts that seal it write
// its key, so an unsealed checkpoint was written by the source itself.
func (s *Source) readBack(ctx context.Context, source SourceID) error {
	entry, err := s.opts.Store.Get(ctx, source.key())
	if errors.Is(err, external.ErrKeyNotFound) {
		return s.handleMissingKey(source)
	}
	if err != nil {
		return err
	}
	found, err := decodeCheckpoint(entry.Value)
	if err != nil {
		return errors.Wrapf(err, "decode %s", entry.Key)
	}
	if found.Sealed {
		s.continueAfterSeal(&found)
		return nil
	}
	s.markStored(&found, entry.Version)
	return nil
}

// handleMissingKey handles a checkpoint that is not in the store. If the source
// never wrote it, no write took effect. Otherwise it was sealed, reported and
// deleted so long ago that the sealed sequence is no longer known. All records
// so far are then treated as sealed, since reporting them again could bill them
// twice.
func (s *Source) handleMissingKey(source SourceID) error {
	s.mu.Lock()
	neverWritten, sequence := s.version == external.NoVersion, s.state.sequence
	s.mu.Unlock()
	if neverWritten {
		return nil
	}
	s.continueAfterSeal(&Checkpoint{Source: source, Sequence: sequence, Sealed: true})
	return nil
}

// continueAfterSeal switches to a new incarnation, which starts with the records
// that the sealed checkpoint does not include.
func (s *Source) continueAfterSeal(sealed *Checkpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.id != sealed.Source {
		return
	}
	s.state = s.state.successor(sealed.Sequence, s.state.id.Incarnation+1, timestampOf(time.Now()), s.windowLength())
	s.version = external.NoVersion
	s.acked = 0
	s.metrics.seals.Inc()
	s.opts.Log.Warn("usage checkpoint was sealed by another host; continuing under a new incarnation", "by", sealed.SealedBy)
}
