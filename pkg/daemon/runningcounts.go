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

// runningCounts exchanges the numbers of running requests per workspace between
// the daemons. It publishes only workspaces that are near their concurrency limit,
// which bounds the traffic.
type runningCounts struct {
	disseminator *dissemination.Manager
	log          *slog.Logger
	// nearLimit reports whether a number of running requests on this daemon is near
	// the workspace's concurrency limit.
	nearLimit func(workspace ident.Workspace, running int) bool

	mu sync.Mutex
	// local counts this daemon's running requests.
	local map[ident.Workspace]int
	// published holds the workspaces whose counts are published.
	published map[ident.Workspace]bool
	// remote sums the counts that the other daemons published.
	remote map[ident.Workspace]int
}

// newRunningCounts returns empty counts.
func newRunningCounts(disseminator *dissemination.Manager, log *slog.Logger, nearLimit func(ident.Workspace, int) bool) *runningCounts {
	return &runningCounts{
		disseminator: disseminator, log: log, nearLimit: nearLimit, local: make(map[ident.Workspace]int),
		published: make(map[ident.Workspace]bool), remote: make(map[ident.Workspace]int),
	}
}

// add changes the number of a workspace's running requests on this daemon.
func (c *runningCounts) add(workspace ident.Workspace, by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local[workspace] += by
	if c.local[workspace] == 0 {
		delete(c.local, workspace)
	}
}

// remoteRunning returns how many requests of a workspace run on other daemons.
func (c *runningCounts) remoteRunning(workspace ident.Workspace) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remote[workspace]
}

// run publishes and reads the counts until ctx ends.
func (c *runningCounts) run(ctx context.Context) error {
	ticker := time.NewTicker(runningCountsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.publish()
			c.readRemote()
		}
	}
}

// publish publishes the counts of workspaces that are near their limit and
// withdraws those of the others.
func (c *runningCounts) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for workspace, running := range c.local {
		if !c.nearLimit(workspace, running) {
			continue
		}
		c.published[workspace] = true
		if err := c.disseminator.Publish(runningKey(workspace), running, false); err != nil {
			c.log.Error("number of running requests not published", "workspace", workspace, "error", err)
		}
	}
	for workspace := range c.published {
		if !c.nearLimit(workspace, c.local[workspace]) {
			c.disseminator.Withdraw(runningKey(workspace))
			delete(c.published, workspace)
		}
	}
}

// readRemote sums the counts that the other daemons published.
func (c *runningCounts) readRemote() {
	remote := make(map[ident.Workspace]int)
	for _, found := range c.disseminator.Items(dissemination.SectionRunning) {
		var running int
		if found.Own || peer.Decode(found.Value, &running) != nil {
			continue
		}
		remote[ident.Workspace(found.Name)] += running
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote = remote
}

// runningKey returns the key of a workspace's published count.
func runningKey(workspace ident.Workspace) dissemination.Key {
	return dissemination.Key{Section: dissemination.SectionRunning, Name: string(workspace)}
}
