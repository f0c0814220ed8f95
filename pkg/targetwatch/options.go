package targetwatch

import (
	"log/slog"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// Dissemination publishes and receives items. It is implemented by
// dissemination.Manager.
type Dissemination interface {
	// Publish sets an item of this daemon.
	Publish(key dissemination.Key, value any, urgent bool) error
	// Withdraw removes an item of this daemon.
	Withdraw(key dissemination.Key)
	// Items returns a section's items of all daemons.
	Items(section dissemination.Section) []dissemination.StoredItem
}

// HoldSource provides the holds, which list the targets that get no new work.
type HoldSource interface {
	// CurrentHolds returns the current holds, or nil before any were loaded.
	CurrentHolds() *config.Holds
}

// Options configure a Watcher.
type Options struct {
	Self    ident.Host
	Orderer external.TargetOrderer
	// Dissemination exchanges with other daemons what was read. Members are the
	// daemons that share the reading. If either is nil the daemon reads everything
	// itself.
	Dissemination Dissemination
	Members       membership.View
	// Holds may be nil.
	Holds HoldSource
	// Client sends the requests to targets. If it is nil no target is polled.
	Client *http.Client
	// Credential authenticates the daemon to the targets. It may be empty.
	Credential string
	// Events is called with new cache events of a target, in order but possibly
	// with gaps. It must not block. If it is nil this daemon reads no cache events.
	Events func(target ident.Target, events []fleet.CacheEvent)
	Log    *slog.Logger
	// ReadInterval is the interval between reads of the list and of each target's
	// load. Zero selects the default.
	ReadInterval time.Duration
}

const (
	// defaultReadInterval is the default of Options.ReadInterval.
	defaultReadInterval = time.Second
	// staleIntervals is the age, in units of Options.ReadInterval, at which what was
	// read is stale. Rank 0 is the first and always reads; the daemon of each
	// later rank waits one interval longer before it reads as well.
	staleIntervals = 3
	// pollTimeout bounds one request to a target.
	pollTimeout = time.Second
	// maxConcurrentPolls bounds the targets that are polled at the same time.
	maxConcurrentPolls = 16
	// maxResponseBytes bounds a target's response.
	maxResponseBytes = 1 << 20
	// maxEvents bounds the cache events of one target that are published at once.
	maxEvents = 128
)

// setDefaults sets the options that are zero.
func (o *Options) setDefaults() {
	if o.ReadInterval == 0 {
		o.ReadInterval = defaultReadInterval
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}
