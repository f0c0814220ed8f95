package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// Manager competes for duties on behalf of one process.
type Manager struct {
	opts    Options
	timing  Timing
	self    Writer
	session *session
	metrics *metrics
	held    atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	// era is the store's highest era that was seen, and eraSince when that was.
	era      external.Era
	eraSince time.Duration
}

var _ Runner = (*Manager)(nil)

// NewManager returns a manager that holds nothing.
func NewManager(opts Options) *Manager {
	m := &Manager{opts: opts, timing: opts.Timing, random: opts.Random}
	m.self = Writer{Host: opts.Host, Incarnation: opts.Incarnation}
	m.metrics = newMetrics(opts.Registerer)
	m.session = newSession(opts, m.metrics)
	return m
}

// Run competes for one duty until ctx is canceled and runs work each time the
// process becomes its holder. After ctx is canceled it waits for work to return,
// then releases the duty.
func (m *Manager) Run(ctx context.Context, d ident.Duty, work Work) error {
	c := &campaign{manager: m, duty: d, work: work, freeSince: notFree}
	// The first read waits for a random part of the poll interval, so that
	// processes that start together don't read together.
	clock.Sleep(ctx, time.Duration(m.randomFloat()*float64(m.timing.PollInterval)))
	for ctx.Err() == nil {
		c.step(ctx)
	}
	return nil
}

// HeldDuties returns how many duties the process holds.
func (m *Manager) HeldDuties() int { return int(m.held.Load()) }

// rank returns the process's rank for a duty among the live members, or
// duty.NotRanked if MaxCandidates or more members rank before it.
func (m *Manager) rank(d ident.Duty) int {
	self := duty.Candidate{Host: m.opts.Host, FailureDomain: m.opts.FailureDomain}
	candidates := []duty.Candidate{self}
	for _, member := range m.opts.Members.Members() {
		if member.Status == membership.Alive && member.Host != m.opts.Host {
			candidates = append(candidates, duty.Candidate{Host: member.Host, FailureDomain: member.FailureDomain})
		}
	}
	return duty.RankBelow(d, candidates, self, m.timing.MaxCandidates)
}

// ready reports whether the process may acquire duties.
func (m *Manager) ready() bool { return m.opts.Ready == nil || m.opts.Ready() }

// randomFloat returns a random number in [0,1). It is safe for concurrent use.
func (m *Manager) randomFloat() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64()
}

// nextWriter returns this process's identity with the next sequence number.
func (m *Manager) nextWriter() Writer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	writer := m.self
	writer.Sequence = m.sequence
	return writer
}

// read returns a duty's entry. Its version is zero if the duty is free.
func (m *Manager) read(ctx context.Context, d ident.Duty) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.CallTimeout)
	defer cancel()
	entry, err := m.opts.Store.Get(ctx, KeyOf(d))
	if fault.KindOf(err) == fault.NotFound {
		return external.Entry{}, nil
	}
	return entry, err
}

// create creates the duty's key, which must not exist, and returns its version.
// If the response is lost, it reads the key back. If that fails too, a later
// observation finds the key bound to this process's lease and adopts it.
func (m *Manager) create(ctx context.Context, d ident.Duty, lease *storeLease) (external.Version, error) {
	record := Record{Writer: m.nextWriter(), FailureDomain: m.opts.FailureDomain}
	value, err := record.encode()
	if err != nil {
		return external.NoVersion, err
	}
	callCtx, cancel := context.WithTimeout(ctx, m.timing.CallTimeout)
	defer cancel()
	swap := external.Swap{Key: KeyOf(d), Base: external.NoVersion, Value: value, Lease: lease.id}
	version, err := m.opts.Store.CompareAndSwap(callCtx, swap)
	if fault.KindOf(err) != fault.Unknown || err == nil {
		return version, err
	}
	entry, readErr := m.read(ctx, d)
	if readErr != nil {
		return external.NoVersion, err
	}
	found, decodeErr := decodeRecord(entry.Value)
	if decodeErr != nil || found.Writer != record.Writer {
		return external.NoVersion, err
	}
	return entry.Version, nil
}

// release frees a duty when the process stops, retrying for up to ReleaseFor. It
// retries through an outage of the store, because the store may not count down the
// key's lease during the outage.
func (m *Manager) release(d ident.Duty, version external.Version) {
	ctx, cancel := context.WithTimeout(context.Background(), m.timing.ReleaseFor)
	defer cancel()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minReleaseBackoff
	retry.MaxInterval = maxReleaseBackoff
	for {
		err := m.deleteKey(ctx, d, version)
		if err == nil {
			return
		}
		clock.Sleep(ctx, retry.NextBackOff())
		if ctx.Err() != nil {
			m.opts.Log.Info("duty left to lapse", "duty", d, "error", err)
			return
		}
	}
}

const (
	// minReleaseBackoff and maxReleaseBackoff bound the pauses between attempts
	// to release a duty.
	minReleaseBackoff = 100 * time.Millisecond
	maxReleaseBackoff = 400 * time.Millisecond
)

// deleteKey deletes a duty's key if it still has the given version. If this
// fails, the key is deleted when its lease expires.
func (m *Manager) deleteKey(ctx context.Context, d ident.Duty, version external.Version) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.timing.CallTimeout)
	defer cancel()
	err := m.opts.Store.Delete(ctx, KeyOf(d), version)
	if errors.Is(err, external.ErrVersionConflict) {
		return nil
	}
	return err
}

// tryRelease tries once to delete a duty's key. If that fails, the next
// observation finds the key again.
func (m *Manager) tryRelease(ctx context.Context, d ident.Duty, version external.Version) {
	if err := m.deleteKey(ctx, d, version); err != nil {
		m.opts.Log.Info("duty not freed", "duty", d, "error", err)
	}
}
