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
	terms   Terms
	self    Writer
	session *session
	metrics *metrics
	held    atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
}

var _ Holder = (*Manager)(nil)

// NewManager returns a manager that holds nothing.
func NewManager(opts Options) *Manager {
	m := &Manager{opts: opts, terms: opts.Terms, random: opts.Random}
	m.self = Writer{Host: opts.Host, Incarnation: opts.Incarnation}
	m.metrics = newMetrics(opts.Registerer)
	m.session = newSession(opts, m.metrics)
	return m
}

// Run competes for one duty until ctx ends, and runs work each time it holds
// it. A planned stop lets work return, then releases the duty.
func (m *Manager) Run(ctx context.Context, d ident.Duty, work Work) error {
	c := &contest{manager: m, duty: d, work: work, freeSince: notFree}
	// The first look waits for a part of the poll, so that processes that
	// start together don't read together.
	clock.Sleep(ctx, time.Duration(m.draw()*float64(m.terms.PollEvery)))
	for ctx.Err() == nil {
		c.turn(ctx)
	}
	return nil
}

// Held returns how many duties the process holds.
func (m *Manager) Held() int { return int(m.held.Load()) }

// place returns the process's rank for a duty among the members that are alive,
// or duty.NotRanked where others come first.
func (m *Manager) place(d ident.Duty) int {
	self := duty.Candidate{Host: m.opts.Host, FailureDomain: m.opts.FailureDomain}
	candidates := []duty.Candidate{self}
	for _, member := range m.opts.Members.Members() {
		if member.Status == membership.Alive && member.Host != m.opts.Host {
			candidates = append(candidates, duty.Candidate{Host: member.Host, FailureDomain: member.FailureDomain})
		}
	}
	return duty.PlaceWithin(d, candidates, self, m.terms.Candidates)
}

// ready reports whether the process has a view to act on.
func (m *Manager) ready() bool { return m.opts.Ready == nil || m.opts.Ready() }

// draw returns a random number in [0,1).
func (m *Manager) draw() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64()
}

// nextWriter returns the identity of a new write.
func (m *Manager) nextWriter() Writer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	writer := m.self
	writer.Sequence = m.sequence
	return writer
}

// read returns a duty's entry, with a zero version where the duty is free.
func (m *Manager) read(ctx context.Context, d ident.Duty) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, m.terms.CallTimeout)
	defer cancel()
	entry, err := m.opts.Store.Get(ctx, KeyOf(d))
	if fault.KindOf(err) == fault.NotFound {
		return external.Entry{}, nil
	}
	return entry, err
}

// create writes the duty's key, which must be free, and returns its version.
// Where the answer is lost, the key is read back; where that fails too, a later
// look finds the key bound to this process's lease and adopts it.
func (m *Manager) create(ctx context.Context, d ident.Duty, t *tenure) (external.Version, error) {
	record := Record{Writer: m.nextWriter(), FailureDomain: m.opts.FailureDomain}
	value, err := record.encode()
	if err != nil {
		return external.NoVersion, err
	}
	callCtx, cancel := context.WithTimeout(ctx, m.terms.CallTimeout)
	defer cancel()
	swap := external.Swap{Key: KeyOf(d), Base: external.NoVersion, Value: value, Lease: t.id}
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

// release frees a duty of a process that stops. It goes on through an outage of
// the store, since the key's lease may stand still meanwhile.
func (m *Manager) release(d ident.Duty, version external.Version) {
	ctx, cancel := context.WithTimeout(context.Background(), m.terms.ReleaseFor)
	defer cancel()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstReleaseRetry
	retry.MaxInterval = longestReleaseRetry
	for {
		err := m.remove(ctx, d, version)
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
	// firstReleaseRetry and longestReleaseRetry bound the pauses between the tries
	// to free a duty.
	firstReleaseRetry   = 100 * time.Millisecond
	longestReleaseRetry = 400 * time.Millisecond
)

// remove frees a duty's key if it still stands at the given version. The key's
// lease frees it where this fails.
func (m *Manager) remove(ctx context.Context, d ident.Duty, version external.Version) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.terms.CallTimeout)
	defer cancel()
	err := m.opts.Store.Delete(ctx, KeyOf(d), version)
	if errors.Is(err, external.ErrVersionConflict) {
		return nil
	}
	return err
}

// clear frees a duty's key once. Where that fails, the next look sees the key
// again.
func (m *Manager) clear(ctx context.Context, d ident.Duty, version external.Version) {
	if err := m.remove(ctx, d, version); err != nil {
		m.opts.Log.Info("duty not freed", "duty", d, "error", err)
	}
}
