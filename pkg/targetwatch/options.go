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

// Spread is what a Watcher needs of the dissemination;
// dissemination.Manager implements it.
type Spread interface {
	// Publish sets an item of this daemon's.
	Publish(key dissemination.Key, value any, urgent bool) error
	// Withdraw removes an item of this daemon's.
	Withdraw(key dissemination.Key)
	// Items returns every item of a section.
	Items(section dissemination.Section) []dissemination.StoredItem
}

// HoldSource tells which targets get no new work.
type HoldSource interface {
	// CurrentHolds returns the holds in force, or nil before the first.
	CurrentHolds() *config.Holds
}

// Options shape a Watcher.
type Options struct {
	Self    ident.Host
	Orderer external.TargetOrderer
	// Spread carries what was read between the daemons, or is nil for a
	// daemon that reads everything itself. Members tells who shares the work.
	Spread  Spread
	Members membership.View
	// Holds may be nil.
	Holds HoldSource
	// Client reaches the targets; nil means that no target is asked.
	Client *http.Client
	// Credential is the system's own towards the targets.
	Credential string
	// Events takes the cache events of a target as they come, in order but
	// with gaps. It may be nil and must not block.
	Events func(target ident.Target, events []fleet.CacheEvent)
	Log    *slog.Logger
	// Every is the time between reads of the list and of each target's load.
	Every time.Duration
}

const (
	// defaultEvery is the default of Options.Every.
	defaultEvery = time.Second
	// staleReads is how many periods a view may miss before the host of the
	// next rank reads as well.
	staleReads = 3
	// pollTimeout bounds one question to a target.
	pollTimeout = time.Second
	// pollsAtOnce bounds the questions under way.
	pollsAtOnce = 16
	// maxAnswerBytes bounds a target's answer.
	maxAnswerBytes = 1 << 20
	// maxEvents bounds the cache events that are spread of one target at once.
	maxEvents = 128
)

// fill sets the options that were left out.
func (o *Options) fill() {
	if o.Every == 0 {
		o.Every = defaultEvery
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}
