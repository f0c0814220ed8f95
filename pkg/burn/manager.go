package burn

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// Manager counts this daemon's requests and checkpoints the counts to the store,
// as one page per hour under a key of this process, so that they survive the
// loss of the host. It implements Recorder.
type Manager struct {
	opts    Options
	metrics *metrics

	mu sync.Mutex
	// local holds this process's counts of the pages that are not yet evicted.
	local Slots
	// oldestOpenPage is the start, in Unix seconds, of the oldest page that can
	// still change.
	oldestOpenPage int64
	// storedPages are the pages in the store by their start in Unix seconds. Only
	// Checkpoint uses them; mu does not guard them.
	storedPages map[int64]storedPage
}

var _ Recorder = (*Manager)(nil)

// New returns a manager without counts.
func New(opts Options) *Manager {
	opts.setDefaults()
	return &Manager{opts: opts, metrics: newMetrics(opts.Registerer), local: make(Slots), storedPages: make(map[int64]storedPage)}
}

// Record counts one request.
func (m *Manager) Record(event Event) {
	subject := Subject{event.Workspace, event.Route}
	counts := event.evaluate(m.knobs(subject))
	m.metrics.count(&counts)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.local.add(time.Unix(max(event.At.Unix(), m.oldestOpenPage), 0), subject, &counts)
}

// knobs returns a subject's knobs, or the built-in ones before the first
// configuration is loaded. It is a KnobSource.
func (m *Manager) knobs(subject Subject) *config.BurnKnobs {
	snapshot := m.opts.Config.Current()
	if snapshot == nil {
		knobs := config.BuiltinKnobs()
		return &knobs.Burn
	}
	return &snapshot.Knobs(config.Selector{Workspace: subject.Workspace, Route: subject.Route}).Burn
}

// Run writes checkpoints at the configured interval until ctx is done, and then
// a final one.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.CheckpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			defer cancel()
			m.Checkpoint(last, time.Now())
			return nil
		case now := <-ticker.C:
			m.Checkpoint(ctx, now)
		}
	}
}
