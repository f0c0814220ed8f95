package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// runningShare tells the daemons of each other's running requests. Only the
// workspaces that come near their limit on concurrency are told of, which
// bounds the bytes.
type runningShare struct {
	spread *dissemination.Manager
	log    *slog.Logger
	// near reports whether so many running requests at one daemon are near
	// the workspace's limit.
	near func(workspace ident.Workspace, running int) bool

	mu sync.Mutex
	// own counts this daemon's running requests.
	own map[ident.Workspace]int
	// told are the workspaces that others were told of.
	told map[ident.Workspace]bool
	// others are the sums of the other daemons.
	others map[ident.Workspace]int
}

// newRunningShare returns a share that knows of nothing.
func newRunningShare(spread *dissemination.Manager, log *slog.Logger, near func(ident.Workspace, int) bool) *runningShare {
	return &runningShare{
		spread: spread, log: log, near: near, own: make(map[ident.Workspace]int),
		told: make(map[ident.Workspace]bool), others: make(map[ident.Workspace]int),
	}
}

// change counts requests that begin or end.
func (s *runningShare) change(workspace ident.Workspace, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own[workspace] += by
	if s.own[workspace] == 0 {
		delete(s.own, workspace)
	}
}

// elsewhere returns how many requests of a workspace run at other daemons.
func (s *runningShare) elsewhere(workspace ident.Workspace) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.others[workspace]
}

// run publishes and reads until ctx ends.
func (s *runningShare) run(ctx context.Context) error {
	ticker := time.NewTicker(runningEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.publish()
			s.read()
		}
	}
}

// publish tells the others of the workspaces that are near their limit.
func (s *runningShare) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace, running := range s.own {
		if !s.near(workspace, running) {
			continue
		}
		s.told[workspace] = true
		if err := s.spread.Publish(runningKey(workspace), running, false); err != nil {
			s.log.Error("running requests not published", "workspace", workspace, "error", err)
		}
	}
	for workspace := range s.told {
		if !s.near(workspace, s.own[workspace]) {
			s.spread.Withdraw(runningKey(workspace))
			delete(s.told, workspace)
		}
	}
}

// read sums what the others have published.
func (s *runningShare) read() {
	others := make(map[ident.Workspace]int)
	for _, found := range s.spread.Items(dissemination.SectionRunning) {
		var running int
		if found.Own || peer.Decode(found.Value, &running) != nil {
			continue
		}
		others[ident.Workspace(found.Name)] += running
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = others
}

// runningKey names a workspace's item.
func runningKey(workspace ident.Workspace) dissemination.Key {
	return dissemination.Key{Section: dissemination.SectionRunning, Name: string(workspace)}
}
