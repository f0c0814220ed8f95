package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// SourceOptions are what a Source works on.
type SourceOptions struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Incarnation   ident.Incarnation
	Store         external.Store
	// Mesh and View reach the peer that keeps the tail. Both are nil where
	// there are no other daemons.
	Mesh peer.Mesh
	View membership.View
	// Knobs returns the knobs in force.
	Knobs      func() config.UsageKnobs
	Log        *slog.Logger
	Registerer prometheus.Registerer
	// TailEvery is the time between messages to the peer; zero takes the
	// default.
	TailEvery time.Duration
}

const (
	// defaultTailEvery is the time between messages to the peer.
	defaultTailEvery = 200 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 3 * time.Second
)

// Source meters the requests of one daemon. Each is counted once, under the
// source's id and a sequence number, and stands in the store from the next
// checkpoint on and at a peer before that.
type Source struct {
	opts    SourceOptions
	metrics *sourceMetrics
	acks    chan wireAck

	mu    sync.Mutex
	state *state
	// version is the checkpoint's version in the store.
	version external.Version
	// acked is the last record that the peer keeps.
	acked uint64
	// keeper is the peer that keeps the tail.
	keeper ident.Host
}

var _ Recorder = (*Source)(nil)

// NewSource returns a source that has recorded nothing.
func NewSource(opts SourceOptions) *Source {
	if opts.TailEvery == 0 {
		opts.TailEvery = defaultTailEvery
	}
	if opts.Registerer == nil {
		opts.Registerer = prometheus.NewRegistry()
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	s := &Source{opts: opts, metrics: newSourceMetrics(opts.Registerer), acks: make(chan wireAck, acksLimit)}
	id := SourceID{Host: opts.Host, Incarnation: opts.Incarnation}
	s.state = newState(id, stampOf(time.Now()), s.length())
	if opts.Mesh != nil {
		opts.Mesh.Handle(peer.KindUsageAck, s.receiveAck)
	}
	return s
}

// length returns the length of a window that is in force.
func (s *Source) length() time.Duration { return s.opts.Knobs().Window.D() }

// Record counts one request.
func (s *Source) Record(record Record) {
	length := s.length()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.roll(stampOf(time.Now()), length)
	s.state.record(record, length)
	s.metrics.records.Inc()
}

// Run checkpoints and sends the tail until ctx ends, and then writes a last
// checkpoint and seals it.
func (s *Source) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.TailEvery)
	defer ticker.Stop()
	checkpointAt := s.nextCheckpoint(time.Now())
	var heads time.Time
	for {
		select {
		case <-ctx.Done():
			return s.stop(context.WithoutCancel(ctx))
		case ack := <-s.acks:
			s.takeAck(ack)
			continue
		case <-ticker.C:
		}
		s.sendTail()
		if now := time.Now(); !now.Before(checkpointAt) {
			checkpointAt = s.nextCheckpoint(now)
			s.logged("checkpoint", s.Checkpoint(ctx))
		}
		if time.Since(heads) >= s.length() {
			heads = time.Now()
			s.logged("prune", s.prune(ctx))
		}
	}
}

// nextCheckpoint returns when to write next: after the usual time, but soon
// after the end of the open window where that is before, so that the window's
// figures are in time for its report. The daemons' writes then spread over half
// of the grace.
func (s *Source) nextCheckpoint(now time.Time) time.Time {
	knobs := s.opts.Knobs()
	usual := now.Add(knobs.CheckpointEvery.D())
	s.mu.Lock()
	end := s.state.open.End
	s.mu.Unlock()
	share := float64(xxhash.Sum64String(string(s.opts.Host))%spreadSteps) / spreadSteps
	closing := end.Time().Add(time.Duration(share * float64(knobs.Grace.D()) / 2))
	if closing.After(now) && closing.Before(usual) {
		return closing
	}
	return usual
}

// spreadSteps is how fine the daemons' writes are spread.
const spreadSteps = 1024

// logged logs a step that failed; it is tried again in its turn.
func (s *Source) logged(step string, err error) {
	if err != nil {
		s.opts.Log.Debug("a step of the usage source failed", "step", step, "error", err)
	}
}

// stopTries bounds the attempts to write the last checkpoint.
const stopTries = 5

// stop seals the source itself, so that nothing waits for it.
func (s *Source) stop(ctx context.Context) error {
	var err error
	for range stopTries {
		if err = s.finish(ctx); err == nil {
			return nil
		}
		time.Sleep(s.opts.TailEvery)
	}
	s.opts.Log.Warn("the last usage checkpoint was not written; a peer seals the rest", "error", err)
	return nil
}

// prune drops what every shard has reported.
func (s *Source) prune(ctx context.Context) error {
	heads, err := readHeads(ctx, s.opts.Store)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.reported(reportedBy(heads, s.state.id))
	return nil
}

// readHeads returns the heads of the shards.
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
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}
