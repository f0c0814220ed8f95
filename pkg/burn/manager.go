package burn

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// Manager counts this daemon's requests and checkpoints the counts into the
// store, a page for each hour under the process's own key, so that they outlive
// the host. It implements Recorder.
type Manager struct {
	opts    Options
	metrics *metrics

	mu sync.Mutex
	// own holds this process's counts of the present page and those before
	// that are not yet checkpointed.
	own Slots
	// floor is the start of the oldest page that can still change, in Unix
	// seconds.
	floor int64
	// versions are the store's versions of the pages, by their start.
	versions map[int64]pageState
}

var _ Recorder = (*Manager)(nil)

// New returns a manager that has counted nothing.
func New(opts Options) *Manager {
	opts.fill()
	return &Manager{opts: opts, metrics: newMetrics(opts.Registerer), own: make(Slots), versions: make(map[int64]pageState)}
}

// Record counts one request.
func (m *Manager) Record(event Event) {
	subject := Subject{event.Workspace, event.Route}
	counts := event.judge(m.knobs(subject))
	m.metrics.count(&counts)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.add(time.Unix(max(event.At.Unix(), m.floor), 0), subject, &counts)
}

// knobs returns the objectives of a subject as configured.
func (m *Manager) knobs(subject Subject) *config.BurnKnobs {
	snapshot := m.opts.Config.Current()
	if snapshot == nil {
		knobs := config.BuiltinKnobs()
		return &knobs.Burn
	}
	return &snapshot.Knobs(config.Selector{Workspace: subject.Workspace, Route: subject.Route}).Burn
}

// Run checkpoints at a steady pace until ctx ends, and once more then.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Every)
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
