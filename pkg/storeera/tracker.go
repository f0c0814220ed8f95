package storeera

import (
	"log/slog"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// tracker holds the highest known era of the store.
type tracker struct {
	log *slog.Logger

	mu  sync.Mutex
	era external.Era
	// known is set once an answer or another daemon has named an era.
	known bool
	// risen is closed once a higher era is known.
	risen chan struct{}
	// revision is the last known revision, of era revisionEra.
	revision    uint64
	revisionEra external.Era
}

// newTracker returns a tracker that knows no era yet.
func newTracker(log *slog.Logger) *tracker {
	return &tracker{log: log, risen: make(chan struct{})}
}

// current returns the highest known era, and whether any is known.
func (t *tracker) current() (external.Era, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.known
}

// watch returns the highest known era and a channel that is closed once a higher one
// is known.
func (t *tracker) watch() (external.Era, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.risen
}

// observe records an era and reports whether it is the highest known one.
func (t *tracker) observe(era external.Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && era <= t.era {
		return era == t.era
	}
	if t.known {
		close(t.risen)
		t.risen = make(chan struct{})
	} else {
		t.revisionEra = era
	}
	t.era, t.known = era, true
	return true
}

// noteRevision records a revision of the store in an era. The first one of an era
// after a rise logs the rise, with the last known revision of the era before.
func (t *tracker) noteRevision(era external.Era, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era != t.era || revision == 0 {
		return
	}
	if era == t.revisionEra {
		t.revision = max(t.revision, revision)
		return
	}
	t.log.Warn("store came back from an older copy", "era", era, "before", t.revisionEra, "revision", revision, "revisionBefore", t.revision)
	t.revisionEra, t.revision = era, revision
}
