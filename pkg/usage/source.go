package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// SourceOptions configure a Source.
type SourceOptions struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Incarnation   ident.Incarnation
	Store         external.Store
	// Mesh and View are used to replicate the tail to a peer. Both are nil if
	// there are no other daemons.
	Mesh peer.Mesh
	View membership.View
	// Knobs returns the current knobs of usage reporting. Knobs are values that the
	// dynamic configuration sets; these are the same for the whole fleet.
	Knobs      func() config.UsageKnobs
	Log        *slog.Logger
	Registerer prometheus.Registerer
	// TailInterval is the interval between tail messages to the peer; zero means
	// the default.
	TailInterval time.Duration
}

const (
	// defaultTailInterval is the default interval between tail messages.
	defaultTailInterval = 200 * time.Millisecond
	// storeTimeout bounds one call to the store or the sink.
	storeTimeout = 3 * time.Second
)

// Source meters the requests of one daemon. Each request is counted once, under
// the source's ID and a sequence number. Its usage is replicated to a peer until
// the next checkpoint stores it.
type Source struct {
	opts    SourceOptions
	metrics *sourceMetrics
	acks    chan wireAck

	mu    sync.Mutex
	state *sourceState
	// version is the checkpoint's version in the store.
	version external.Version
	// acked is the last record that the peer has acknowledged.
	acked uint64
	// replicaHost is the peer that holds the replica of the tail.
	replicaHost ident.Host
}

var _ Recorder = (*Source)(nil)

// NewSource returns a source without records.
func NewSource(opts SourceOptions) *Source {
	if opts.TailInterval == 0 {
		opts.TailInterval = defaultTailInterval
	}
	if opts.Registerer == nil {
		opts.Registerer = prometheus.NewRegistry()
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	s := &Source{opts: opts, metrics: newSourceMetrics(opts.Registerer), acks: make(chan wireAck, ackQueueSize)}
	id := SourceID{Host: opts.Host, Incarnation: opts.Incarnation}
	s.state = newSourceState(id, timestampOf(time.Now()), s.windowLength())
	if opts.Mesh != nil {
		opts.Mesh.Handle(peer.KindUsageAck, s.receiveAck)
	}
	return s
}

// windowLength returns the configured length of a window.
func (s *Source) windowLength() time.Duration { return s.opts.Knobs().Window.D() }

// Record counts one request.
func (s *Source) Record(record Record) {
	length := s.windowLength()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.rollOver(timestampOf(time.Now()), length)
	s.state.record(record, length)
	s.metrics.records.Inc()
}

// Run writes checkpoints and sends the tail until ctx is done, and then writes a
// final, sealed checkpoint.
func (s *Source) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.TailInterval)
	defer ticker.Stop()
	checkpointAt := s.nextCheckpoint(time.Now())
	var prunedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return s.shutDown(context.WithoutCancel(ctx))
		case ack := <-s.acks:
			s.applyAck(ack)
			continue
		case <-ticker.C:
		}
		s.sendTail()
		if now := time.Now(); !now.Before(checkpointAt) {
			checkpointAt = s.nextCheckpoint(now)
			s.logFailure("checkpoint", s.Checkpoint(ctx))
		}
		if time.Since(prunedAt) >= s.windowLength() {
			prunedAt = time.Now()
			s.logFailure("prune", s.prune(ctx))
		}
	}
}

// nextCheckpoint returns the time of the next checkpoint: after the configured
// interval, or shortly after the end of the open window if that is earlier, so
// that the window's usage is stored in time for its report. The daemons' writes
// after the end of a window are spread over half of the grace period.
func (s *Source) nextCheckpoint(now time.Time) time.Time {
	knobs := s.opts.Knobs()
	regular := now.Add(knobs.CheckpointEvery.D())
	s.mu.Lock()
	end := s.state.open.End
	s.mu.Unlock()
	fraction := float64(xxhash.Sum64String(string(s.opts.Host))%spreadSteps) / spreadSteps
	afterWindow := end.Time().Add(time.Duration(fraction * float64(knobs.Grace.D()) / 2))
	if afterWindow.After(now) && afterWindow.Before(regular) {
		return afterWindow
	}
	return regular
}

// spreadSteps is the number of points in time over which the daemons' writes
// are spread.
const spreadSteps = 1024

// logFailure logs the error of a periodic step, which is repeated at its next
// interval.
func (s *Source) logFailure(step string, err error) {
	if err != nil {
		s.opts.Log.Debug("usage source step failed", "step", step, "error", err)
	}
}

// maxFinalAttempts bounds the attempts to write the final checkpoint.
const maxFinalAttempts = 5

// shutDown writes the final checkpoint, already sealed, so that no peer needs
// to detect the end of the source and seal it.
func (s *Source) shutDown(ctx context.Context) error {
	var err error
	for range maxFinalAttempts {
		if err = s.writeFinalCheckpoint(ctx); err == nil {
			return nil
		}
		time.Sleep(s.opts.TailInterval)
	}
	s.opts.Log.Warn("failed to write the final usage checkpoint; another daemon writes the remaining records that it has replicated", "error", err)
	return nil
}

// prune drops the batches that every shard has reported.
func (s *Source) prune(ctx context.Context) error {
	heads, err := readHeads(ctx, s.opts.Store)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.dropReported(reportedByAllShards(heads, s.state.id))
	return nil
}

// readHeads returns the heads of all shards that have one.
func readHeads(ctx context.Context, store external.Store) ([]Head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := store.List(ctx, HeadPrefix)
	if err != nil {
		return nil, err
	}
	var heads []Head
	for _, entry := range entries {
		head, err := decodeHead(entry.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "decode %s", entry.Key)
		}
		heads = append(heads, head)
	}
	return heads, nil
}
